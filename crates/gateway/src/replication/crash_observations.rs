//! Observations of requests and parts of prompts that crash endpoints, exchanged between daemons that follow each other:
//! upwards with polls, downwards with answers, and between seeds.
//!
//! Each side of a connection sends the observations that it hasn't sent on it yet. An observation
//! therefore passes every edge of the tree once, whichever daemon had it first, and a new
//! connection gets all observations. An observation that is received again is ignored.

use crate::gateway::Gateway;
use crate::work_by_endpoint::EndpointHash;
use bridgevane_decisions::crash_count::{CrashFact, CrashObservation, ObservationCursor};
use bridgevane_protocol::CrashNews as CrashNewsMessage;
use bridgevane_protocol::crash_news::Fact;
use bridgevane_types::{CrashSuspect, TimeMs};

/// The maximum number of observations per message, which take 1.7 KB; the rest follows with the next
/// message. A connection that only probes a daemon carries a single one.
const MAX_OBSERVATIONS: usize = 64;

/// The position up to which observations were sent on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentCrashObservations {
    cursor: ObservationCursor,
}

impl SentCrashObservations {
    /// Returns the next observations for the other side, and advances.
    pub(super) fn take_unsent(&mut self, gateway: &Gateway) -> Vec<CrashNewsMessage> {
        let (observations, cursor) = gateway
            .quarantine
            .observations_after(self.cursor, MAX_OBSERVATIONS);
        self.cursor = cursor;
        let now = gateway.clock.now();
        observations
            .iter()
            .map(|observation| encode(now, observation))
            .collect()
    }

    /// Waits until there are unsent observations.
    pub(super) async fn wait_for_unsent(&self, gateway: &Gateway) {
        gateway
            .quarantine
            .wait_for_observations_after(self.cursor)
            .await;
    }
}

/// Applies the observations of another daemon.
pub(super) fn apply(gateway: &Gateway, messages: &[CrashNewsMessage]) {
    if messages.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let observations = messages.iter().filter_map(|message| decode(now, message));
    gateway.quarantine.on_observations(observations);
}

fn encode(now: TimeMs, observation: &CrashObservation<EndpointHash>) -> CrashNewsMessage {
    let fact = match observation.fact {
        CrashFact::Crashed(endpoint) => Fact::CrashedEndpoint(endpoint.0),
        CrashFact::Served => Fact::Served(true),
        CrashFact::Quarantined => Fact::Quarantined(true),
    };
    let (request, part) = match observation.suspect {
        CrashSuspect::Request(request) => (Some(request.into()), None),
        CrashSuspect::Part(part) => (None, Some(part.into())),
    };
    CrashNewsMessage {
        request,
        part,
        age_ms: u32::try_from(now.since(observation.at).0).unwrap_or(u32::MAX),
        fact: Some(fact),
    }
}

/// Returns none for a fact that a later version has added, and for one from before the start of
/// this daemon's clock.
fn decode(now: TimeMs, message: &CrashNewsMessage) -> Option<CrashObservation<EndpointHash>> {
    let fact = match message.fact? {
        Fact::CrashedEndpoint(endpoint) => CrashFact::Crashed(EndpointHash(endpoint)),
        Fact::Served(_) => CrashFact::Served,
        Fact::Quarantined(_) => CrashFact::Quarantined,
    };
    let suspect = match (message.request, message.part) {
        (Some(request), _) => CrashSuspect::Request(request.into()),
        (None, Some(part)) => CrashSuspect::Part(part.into()),
        (None, None) => return None,
    };
    Some(CrashObservation {
        suspect,
        at: TimeMs(now.0.checked_sub(u64::from(message.age_ms))?),
        started_at: None,
        fact,
    })
}
