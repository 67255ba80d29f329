//! The quarantine: which requests end the endpoints that run them, as far as this daemon knows.
//!
//! Owns the count behind a lock, and a view of it that requests read without one. Lost with the
//! process; a new one hears it from other daemons, and reads from the control source what they have
//! stored there ([`crate::replication::quarantine_writer`]). The rule is
//! [`bridgevane_decisions::crash_count`].

use crate::clock::{AtomicTime, Clock};
use crate::work_by_endpoint::EndpointHash;
use arc_swap::ArcSwap;
use bridgevane_decisions::crash_count::{
    CrashCount, CrashFact, CrashNews, NewsCursor, NewsOutcome, QUARANTINE,
};
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, RequestFingerprint, TimeMs};
use derive_more::Display;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use tokio::sync::{Notify, watch};

/// For so long after news of an endpoint's end more are expected. Not measured, chosen because a request
/// that ends endpoints comes again within seconds.
const FRESH_NEWS: DurationMs = DurationMs(5_000);

/// Who saw what news say. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Origin {
    #[display("this daemon")]
    ThisDaemon,
    #[display("other daemons")]
    OtherDaemons,
}

/// What requests read.
#[derive(Debug, Default)]
struct View {
    /// Requests that are stopped, and until when.
    stopped: HashMap<RequestFingerprint, TimeMs>,
    /// Requests under which endpoints have ended, too few to be stopped.
    suspects: HashSet<RequestFingerprint>,
}

#[derive(Debug, Default)]
struct State {
    count: CrashCount<EndpointHash>,
    /// Requests that this daemon's own observation put under quarantine, not stored yet.
    to_store: Vec<RequestFingerprint>,
}

/// The quarantine.
#[derive(Debug)]
pub struct Quarantine {
    clock: Clock,
    state: Mutex<State>,
    view: ArcSwap<View>,
    /// When there was news.
    news_at: AtomicTime,
    /// Up to where there is news for other daemons.
    newest: watch::Sender<NewsCursor>,
    /// Wakes the task that stores the quarantine when there is more in it.
    has_to_store: Notify,
}

impl Quarantine {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            view: ArcSwap::default(),
            news_at: AtomicTime::default(),
            newest: watch::Sender::default(),
            has_to_store: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Whether a request is no longer passed on. Its fingerprint is worked out only if any is
    /// stopped.
    pub fn is_stopped(&self, request: impl FnOnce() -> RequestFingerprint) -> bool {
        let view = self.view.load();
        if view.stopped.is_empty() {
            return false;
        }
        let until = view.stopped.get(&request());
        until.is_some_and(|until| self.clock.now() < *until)
    }

    /// Whether any request is no longer passed on.
    pub(crate) fn stops_any(&self) -> bool {
        !self.view.load().stopped.is_empty()
    }

    /// Whether endpoints have ended under a request that is still passed on.
    pub fn is_suspect(&self, request: impl FnOnce() -> RequestFingerprint) -> bool {
        let view = self.view.load();
        !view.suspects.is_empty() && view.suspects.contains(&request())
    }

    /// Whether endpoints have ended just now, and more news are to be expected.
    pub(crate) fn has_fresh_news(&self) -> bool {
        let news_at = self.news_at.get();
        news_at.is_some_and(|at| self.clock.now() < at + FRESH_NEWS)
    }

    /// This daemon saw an endpoint end while these requests were under way there.
    pub fn on_crashed(&self, endpoint: EndpointHash, requests: &[RequestFingerprint]) {
        let at = self.clock.now();
        let news = requests.iter().map(|request| CrashNews {
            request: *request,
            at,
            // Tries that follow each other so closely are one daemon's, and few.
            began_at: None,
            fact: CrashFact::Crashed(endpoint),
        });
        let stopped = self.take(news, Origin::ThisDaemon);
        log_stopped(&stopped, Origin::ThisDaemon);
    }

    /// A request was answered well. Its fingerprint is worked out only if any is suspect.
    pub(crate) fn on_served(&self, request: impl Fn() -> RequestFingerprint) {
        if !self.is_suspect(&request) {
            return;
        }
        let request = request();
        let news = CrashNews {
            request,
            at: self.clock.now(),
            began_at: None,
            fact: CrashFact::Served,
        };
        self.take([news], Origin::ThisDaemon);
    }

    /// Another daemon tells its news.
    pub fn on_news(&self, news: impl IntoIterator<Item = CrashNews<EndpointHash>>) {
        let stopped = self.take(news, Origin::OtherDaemons);
        log_stopped(&stopped, Origin::OtherDaemons);
    }

    /// Takes news in; gives the requests that they put under quarantine.
    fn take(
        &self,
        news: impl IntoIterator<Item = CrashNews<EndpointHash>>,
        origin: Origin,
    ) -> Vec<RequestFingerprint> {
        let now = self.clock.now();
        let mut state = self.state();
        let before = state.count.newest();
        let mut stopped = Vec::new();
        for news in news {
            if state.count.take(now, news) == NewsOutcome::Quarantines {
                stopped.push(news.request);
            }
        }
        let newest = state.count.newest();
        if newest != before {
            state.count.expire(now);
            self.view.store(view(&state.count).into());
            self.news_at.set_if_later(now);
            self.newest.send_replace(newest);
        }
        if origin == Origin::ThisDaemon {
            state.to_store.extend(&stopped);
        }
        if !stopped.is_empty() {
            self.has_to_store.notify_one();
        }
        stopped
    }

    /// The oldest `max` news after `cursor`, and up to where they go.
    pub fn news_after(
        &self,
        cursor: NewsCursor,
        max: usize,
    ) -> (Vec<CrashNews<EndpointHash>>, NewsCursor) {
        self.state().count.news_after(cursor, max)
    }

    /// Waits until there is news after `cursor`.
    pub(crate) async fn news_since(&self, cursor: NewsCursor) {
        let mut newest = self.newest.subscribe();
        // The sender is this owner's, and lives as long.
        let _ = newest.wait_for(|newest| *newest > cursor).await;
    }

    /// Waits until a request is to be stored.
    pub(crate) async fn wait_for_stopped(&self) {
        self.has_to_store.notified().await;
    }

    /// The requests that this daemon put under quarantine itself since the last call.
    pub(crate) fn take_to_store(&self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.state().to_store)
    }

    /// All requests that have been under quarantine for so long at least, and still are.
    pub(crate) fn stopped_for(&self, age: DurationMs) -> Vec<RequestFingerprint> {
        let now = self.clock.now();
        let state = self.state();
        let stopped = state.count.quarantined();
        let old_enough = stopped.filter(|(_, since)| *since + age <= now);
        let not_over = old_enough.filter(|(_, since)| now < *since + QUARANTINE);
        not_over.map(|(request, _)| request).collect()
    }
}

fn view(count: &CrashCount<EndpointHash>) -> View {
    View {
        stopped: count
            .quarantined()
            .map(|(request, since)| (request, since + QUARANTINE))
            .collect(),
        suspects: count.suspects().collect(),
    }
}

fn log_stopped(stopped: &[RequestFingerprint], told_by: Origin) {
    for request in stopped {
        event!(
            Event::RequestQuarantined,
            fingerprint = request,
            told_by = told_by
        );
    }
}
