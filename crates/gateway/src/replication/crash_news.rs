//! News of requests that end endpoints, between daemons that follow each other: up with questions,
//! down with answers, and between seeds.
//!
//! Each side of a connection tells the other what it hasn't told on it yet, so that news go once over
//! every edge of the tree, whoever had them first, and everything there is over a new edge. A daemon
//! that hears news is told nothing new by hearing them again.

use crate::gateway::Gateway;
use crate::work_by_endpoint::EndpointHash;
use bridgevane_decisions::crash_count::{CrashFact, CrashNews, NewsCursor};
use bridgevane_protocol::CrashNews as CrashNewsMessage;
use bridgevane_protocol::crash_news::Fact;
use bridgevane_types::TimeMs;

/// News in one message at most. Not measured, chosen because an engine of 64 slots makes so many when
/// it ends, and they take 1.7 KB; the rest goes with the next message.
const MAX_NEWS: usize = 64;

/// What one side of a connection has told the other.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ToldNews {
    cursor: NewsCursor,
}

impl ToldNews {
    /// The next news for the other side.
    pub(super) fn next(&mut self, gateway: &Gateway) -> Vec<CrashNewsMessage> {
        let (news, cursor) = gateway.quarantine.news_after(self.cursor, MAX_NEWS);
        self.cursor = cursor;
        let now = gateway.clock.now();
        news.iter().map(|news| message(now, news)).collect()
    }

    /// Waits until there is something to tell.
    pub(super) async fn wait(&self, gateway: &Gateway) {
        gateway.quarantine.news_since(self.cursor).await;
    }
}

/// Takes in what another daemon tells.
pub(super) fn take_in(gateway: &Gateway, messages: &[CrashNewsMessage]) {
    if messages.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let news = messages.iter().filter_map(|message| news(now, message));
    gateway.quarantine.on_news(news);
}

fn message(now: TimeMs, news: &CrashNews<EndpointHash>) -> CrashNewsMessage {
    let fact = match news.fact {
        CrashFact::Crashed(endpoint) => Fact::CrashedEndpoint(endpoint.0),
        CrashFact::Served => Fact::Served(true),
        CrashFact::Quarantined => Fact::Quarantined(true),
    };
    CrashNewsMessage {
        request: Some(news.request.into()),
        age_ms: u32::try_from(now.since(news.at).0).unwrap_or(u32::MAX),
        fact: Some(fact),
    }
}

/// None for a fact that a later version has added, and for one from before this daemon's clock.
fn news(now: TimeMs, message: &CrashNewsMessage) -> Option<CrashNews<EndpointHash>> {
    let fact = match message.fact? {
        Fact::CrashedEndpoint(endpoint) => CrashFact::Crashed(EndpointHash(endpoint)),
        Fact::Served(_) => CrashFact::Served,
        Fact::Quarantined(_) => CrashFact::Quarantined,
    };
    Some(CrashNews {
        request: message.request?.into(),
        at: TimeMs(now.0.checked_sub(u64::from(message.age_ms))?),
        began_at: None,
        fact,
    })
}
