//! The quarantine: the requests and parts of prompts that are known to this daemon to crash the
//! endpoints that run them.
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
use bridgevane_types::{CrashSuspect, DurationMs, TimeMs};
use derive_more::Display;
use std::collections::HashMap;
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
    /// What is under quarantine, with the moment at which that ends.
    quarantined: HashMap<CrashSuspect, TimeMs>,
    /// Those under which endpoints have crashed, too few for a quarantine, with the number of crashes.
    suspects: HashMap<CrashSuspect, usize>,
}

#[derive(Debug, Default)]
struct State {
    count: CrashCount<EndpointHash>,
    /// What this daemon put under quarantine, to be stored at the control source.
    to_store: Vec<CrashSuspect>,
}

/// The requests and parts of prompts that crash the endpoints that run them.
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

    /// Returns whether one of these suspects is under quarantine. They are computed only if any suspect
    /// is.
    pub fn is_any_quarantined<I: IntoIterator<Item = CrashSuspect>>(
        &self,
        suspects: impl FnOnce() -> I,
    ) -> bool {
        let snapshot = self.snapshot.load();
        if snapshot.quarantined.is_empty() {
            return false;
        }
        let now = self.clock.now();
        suspects().into_iter().any(|suspect| {
            let until = snapshot.quarantined.get(&suspect);
            until.is_some_and(|until| now < *until)
        })
    }

    /// Returns whether anything is under quarantine.
    pub(crate) fn has_quarantined(&self) -> bool {
        !self.snapshot.load().quarantined.is_empty()
    }

    /// Returns the highest number of endpoints that have crashed under one of these suspects, which
    /// aren't under quarantine. They are computed only if there is any suspect.
    pub fn crashes<I: IntoIterator<Item = CrashSuspect>>(
        &self,
        suspects: impl FnOnce() -> I,
    ) -> usize {
        let snapshot = self.snapshot.load();
        if snapshot.suspects.is_empty() {
            return 0;
        }
        let known = suspects().into_iter();
        let crashes = known.filter_map(|suspect| snapshot.suspects.get(&suspect));
        crashes.copied().max().unwrap_or_default()
    }

    /// Returns whether endpoints have crashed recently, so that more observations are expected.
    pub(crate) fn has_recent_observations(&self) -> bool {
        let recorded_at = self.recorded_at.get();
        recorded_at.is_some_and(|at| self.clock.now() < at + RECENT_CRASH_PERIOD)
    }

    /// Records that this daemon saw an endpoint crash while these suspects were in flight there.
    pub fn on_crashed(&self, endpoint: EndpointHash, suspects: &[CrashSuspect]) {
        let at = self.clock.now();
        let observations = suspects.iter().map(|suspect| CrashObservation {
            suspect: *suspect,
            at,
            // Not needed: the start matters only for attempts that follow each other within
            // `SAME_MOMENT`, and those are few and made by one daemon.
            started_at: None,
            fact: CrashFact::Crashed(endpoint),
        });
        let quarantined = self.record(observations, Origin::ThisDaemon);
        log_quarantined(&quarantined, Origin::ThisDaemon);
    }

    /// Records that these suspects were answered successfully. They are computed only if there is any
    /// suspect.
    pub(crate) fn on_served<I: IntoIterator<Item = CrashSuspect>>(
        &self,
        suspects: impl FnOnce() -> I,
    ) {
        let snapshot = self.snapshot.load();
        if snapshot.suspects.is_empty() {
            return;
        }
        let at = self.clock.now();
        let served = suspects().into_iter();
        let served = served.filter(|suspect| snapshot.suspects.contains_key(suspect));
        let observations: Vec<_> = served
            .map(|suspect| CrashObservation {
                suspect,
                at,
                started_at: None,
                fact: CrashFact::Served,
            })
            .collect();
        if !observations.is_empty() {
            self.record(observations, Origin::ThisDaemon);
        }
    }

    /// Puts the parts under quarantine that are the cause of crashes whose observations have arrived.
    pub(crate) fn review(&self) {
        let quarantined = self.record([], Origin::ThisDaemon);
        log_quarantined(&quarantined, Origin::ThisDaemon);
    }

    /// Records the observations of other daemons.
    pub fn on_observations(
        &self,
        observations: impl IntoIterator<Item = CrashObservation<EndpointHash>>,
    ) {
        let quarantined = self.record(observations, Origin::OtherDaemons);
        log_quarantined(&quarantined, Origin::OtherDaemons);
    }

    /// Records observations and returns what they put under quarantine.
    fn record(
        &self,
        observations: impl IntoIterator<Item = CrashObservation<EndpointHash>>,
        origin: Origin,
    ) -> Vec<CrashSuspect> {
        let now = self.clock.now();
        let mut state = self.state();
        let before = state.count.newest_cursor();
        let mut quarantined = Vec::new();
        for observation in observations {
            if state.count.record(now, observation) == ObservationOutcome::NewlyQuarantined {
                quarantined.push(observation.suspect);
            }
        }
        let by_other_daemons = quarantined.len();
        quarantined.extend(state.count.review(now));
        let newest = state.count.newest_cursor();
        if newest != before {
            state.count.expire(now);
            self.snapshot.store(snapshot(&state.count).into());
            self.recorded_at.set_if_later(now);
            self.newest.send_replace(newest);
        }
        // What this daemon concludes itself is stored by it.
        let concluded = match origin {
            Origin::ThisDaemon => &quarantined[..],
            Origin::OtherDaemons => &quarantined[by_other_daemons..],
        };
        state.to_store.extend(concluded);
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

    /// Waits until a suspect was put under quarantine.
    pub(crate) async fn wait_for_quarantined(&self) {
        self.has_to_store.notified().await;
    }

    /// Returns what this daemon put under quarantine since the last call.
    pub(crate) fn take_unstored(&self) -> Vec<CrashSuspect> {
        std::mem::take(&mut self.state().to_store)
    }

    /// Returns the suspects that have been under quarantine for at least `age`, and still are.
    pub(crate) fn quarantined_for(&self, age: DurationMs) -> Vec<CrashSuspect> {
        let now = self.clock.now();
        let state = self.state();
        let quarantined = state.count.quarantined();
        let old_enough = quarantined.filter(|(_, since)| *since + age <= now);
        let not_expired = old_enough.filter(|(_, since)| now < *since + QUARANTINE_DURATION);
        not_expired.map(|(suspect, _)| suspect).collect()
    }
}

fn snapshot(count: &CrashCount<EndpointHash>) -> Snapshot {
    Snapshot {
        quarantined: count
            .quarantined()
            .map(|(suspect, since)| (suspect, since + QUARANTINE_DURATION))
            .collect(),
        suspects: count.suspects().collect(),
    }
}

fn log_quarantined(quarantined: &[CrashSuspect], origin: Origin) {
    for suspect in quarantined {
        event!(
            Event::RequestQuarantined,
            fingerprint = suspect,
            told_by = origin
        );
    }
}
