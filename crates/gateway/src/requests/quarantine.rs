//! The quarantine: the requests that are known to this daemon to crash the endpoints that run them.
//!
//! Owns the crash count behind a lock, and a snapshot of it that requests read without a lock. The
//! state is lost with the process; a new process receives it from other daemons and reads from the
//! control source what they have stored there ([`crate::replication::quarantine_writer`]). The rule
//! is [`bridgevane_decisions::crash_count`].

use crate::clock::{AtomicTime, Clock};
use crate::work_by_endpoint::EndpointHash;
use arc_swap::ArcSwap;
use bridgevane_decisions::crash_count::{
    CrashCount, CrashFact, CrashObservation, ObservationCursor, ObservationOutcome,
    QUARANTINE_DURATION,
};
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, RequestFingerprint, TimeMs};
use derive_more::Display;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use tokio::sync::{Notify, watch};

/// How long after a crash observation more are expected: a request that crashes endpoints is
/// repeated within seconds.
const RECENT_CRASH_PERIOD: DurationMs = DurationMs(5_000);

/// The daemons that made an observation. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Origin {
    #[display("this daemon")]
    ThisDaemon,
    #[display("other daemons")]
    OtherDaemons,
}

/// A snapshot of the count that requests read without a lock.
#[derive(Debug, Default)]
struct Snapshot {
    /// Requests under quarantine, with the moment at which their quarantine ends.
    quarantined: HashMap<RequestFingerprint, TimeMs>,
    /// Requests under which endpoints have crashed, too few for a quarantine.
    suspects: HashSet<RequestFingerprint>,
}

#[derive(Debug, Default)]
struct State {
    count: CrashCount<EndpointHash>,
    /// Requests that this daemon's own observations put under quarantine, to be stored at the
    /// control source.
    to_store: Vec<RequestFingerprint>,
}

/// The requests that crash the endpoints that run them.
#[derive(Debug)]
pub struct Quarantine {
    clock: Clock,
    state: Mutex<State>,
    snapshot: ArcSwap<Snapshot>,
    /// When the newest observation was recorded.
    recorded_at: AtomicTime,
    /// The cursor of the newest observation for other daemons.
    newest: watch::Sender<ObservationCursor>,
    /// Wakes the task that stores the quarantine when requests were added to it.
    has_to_store: Notify,
}

impl Quarantine {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            snapshot: ArcSwap::default(),
            recorded_at: AtomicTime::default(),
            newest: watch::Sender::default(),
            has_to_store: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Returns whether a request is under quarantine. Its fingerprint is computed only if any
    /// request is.
    pub fn is_quarantined(&self, request: impl FnOnce() -> RequestFingerprint) -> bool {
        let snapshot = self.snapshot.load();
        if snapshot.quarantined.is_empty() {
            return false;
        }
        let until = snapshot.quarantined.get(&request());
        until.is_some_and(|until| self.clock.now() < *until)
    }

    /// Returns whether any request is under quarantine.
    pub(crate) fn has_quarantined(&self) -> bool {
        !self.snapshot.load().quarantined.is_empty()
    }

    /// Returns whether endpoints have crashed under a request that isn't under quarantine.
    pub fn is_suspect(&self, request: impl FnOnce() -> RequestFingerprint) -> bool {
        let snapshot = self.snapshot.load();
        !snapshot.suspects.is_empty() && snapshot.suspects.contains(&request())
    }

    /// Returns whether endpoints have crashed recently, so that more observations are expected.
    pub(crate) fn has_recent_observations(&self) -> bool {
        let recorded_at = self.recorded_at.get();
        recorded_at.is_some_and(|at| self.clock.now() < at + RECENT_CRASH_PERIOD)
    }

    /// Records that this daemon saw an endpoint crash while these requests were in flight there.
    pub fn on_crashed(&self, endpoint: EndpointHash, requests: &[RequestFingerprint]) {
        let at = self.clock.now();
        let observations = requests.iter().map(|request| CrashObservation {
            request: *request,
            at,
            // Not needed: the start matters only for attempts that follow each other within
            // `SAME_MOMENT`, and those are few and made by one daemon.
            started_at: None,
            fact: CrashFact::Crashed(endpoint),
        });
        let quarantined = self.record(observations, Origin::ThisDaemon);
        log_quarantined(&quarantined, Origin::ThisDaemon);
    }

    /// Records that a request was answered successfully. Its fingerprint is computed only if any
    /// request is suspect.
    pub(crate) fn on_served(&self, request: impl Fn() -> RequestFingerprint) {
        if !self.is_suspect(&request) {
            return;
        }
        let request = request();
        let observation = CrashObservation {
            request,
            at: self.clock.now(),
            started_at: None,
            fact: CrashFact::Served,
        };
        self.record([observation], Origin::ThisDaemon);
    }

    /// Records the observations of other daemons.
    pub fn on_observations(
        &self,
        observations: impl IntoIterator<Item = CrashObservation<EndpointHash>>,
    ) {
        let quarantined = self.record(observations, Origin::OtherDaemons);
        log_quarantined(&quarantined, Origin::OtherDaemons);
    }

    /// Records observations and returns the requests that they put under quarantine.
    fn record(
        &self,
        observations: impl IntoIterator<Item = CrashObservation<EndpointHash>>,
        origin: Origin,
    ) -> Vec<RequestFingerprint> {
        let now = self.clock.now();
        let mut state = self.state();
        let before = state.count.newest_cursor();
        let mut quarantined = Vec::new();
        for observation in observations {
            if state.count.record(now, observation) == ObservationOutcome::NewlyQuarantined {
                quarantined.push(observation.request);
            }
        }
        let newest = state.count.newest_cursor();
        if newest != before {
            state.count.expire(now);
            self.snapshot.store(snapshot(&state.count).into());
            self.recorded_at.set_if_later(now);
            self.newest.send_replace(newest);
        }
        if origin == Origin::ThisDaemon {
            state.to_store.extend(&quarantined);
        }
        if !quarantined.is_empty() {
            self.has_to_store.notify_one();
        }
        quarantined
    }

    /// Returns the oldest `max` observations after `cursor`, and the cursor of the last of them.
    pub fn observations_after(
        &self,
        cursor: ObservationCursor,
        max: usize,
    ) -> (Vec<CrashObservation<EndpointHash>>, ObservationCursor) {
        self.state().count.observations_after(cursor, max)
    }

    /// Waits until there are observations after `cursor`.
    pub(crate) async fn wait_for_observations_after(&self, cursor: ObservationCursor) {
        let mut newest = self.newest.subscribe();
        // This can't fail: `self` owns the sender.
        let _ = newest.wait_for(|newest| *newest > cursor).await;
    }

    /// Waits until a request was put under quarantine.
    pub(crate) async fn wait_for_quarantined(&self) {
        self.has_to_store.notified().await;
    }

    /// Returns the requests that this daemon's own observations put under quarantine since the last
    /// call.
    pub(crate) fn take_unstored(&self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.state().to_store)
    }

    /// Returns the requests that have been under quarantine for at least `age`, and still are.
    pub(crate) fn quarantined_for(&self, age: DurationMs) -> Vec<RequestFingerprint> {
        let now = self.clock.now();
        let state = self.state();
        let quarantined = state.count.quarantined();
        let old_enough = quarantined.filter(|(_, since)| *since + age <= now);
        let not_expired = old_enough.filter(|(_, since)| now < *since + QUARANTINE_DURATION);
        not_expired.map(|(request, _)| request).collect()
    }
}

fn snapshot(count: &CrashCount<EndpointHash>) -> Snapshot {
    Snapshot {
        quarantined: count
            .quarantined()
            .map(|(request, since)| (request, since + QUARANTINE_DURATION))
            .collect(),
        suspects: count.suspects().collect(),
    }
}

fn log_quarantined(quarantined: &[RequestFingerprint], origin: Origin) {
    for request in quarantined {
        event!(
            Event::RequestQuarantined,
            fingerprint = request,
            told_by = origin
        );
    }
}
