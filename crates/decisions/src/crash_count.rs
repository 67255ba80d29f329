//! Crash count: which requests crash the endpoints that run them and must no longer be sent?
//!
//! Inputs: observations of this daemon and, in the gateway, of all other daemons
//! ([`CrashObservation`]): a request was running at an endpoint when the endpoint crashed; a
//! request was answered successfully; a request is under quarantine. Each observation has a time by
//! this daemon's clock (ms).
//!
//! Rules:
//! - A request under which [`CRASHES_TO_QUARANTINE`] endpoints have crashed is put under quarantine
//!   for [`QUARANTINE_DURATION`]. A crash counts once per request and endpoint, however many
//!   daemons report it and however often: retries, hedges, resumed streams and repeated requests of
//!   the client all count as one.
//! - Crashes within [`SAME_CRASH_WINDOW`] count as one, unless the later run began after the
//!   earlier crash. Processes that are killed together crash under whatever they run, such as
//!   identical requests of a client that polls.
//! - A successful answer clears the request of all earlier crashes: a client that polls with
//!   identical requests isn't the cause of the crashes that happened while they ran.
//! - A crash under a request that is already under quarantine is attributed to that request, and
//!   counts for no other request that was running there.
//!
//! Reason: a crash ends all requests of an endpoint, and most of them aren't the cause. A request
//! that is the cause crashes every endpoint that starts it when it is retried. Each crash costs the
//! fleet an engine for some seconds, and the retries of one customer took down all engines of a
//! service.
//!
//! Observations form a set: duplicates make no difference to the count, and neither does the order,
//! except that it decides which crashes are attributed. The amount of state is bounded by the
//! constants below.
//!
//! Tests: `crash_count.rs`; `crashing_requests.rs` of the gateway, `crashing_prompts.rs` of
//! `serve`.

use bridgevane_types::{DurationMs, RequestFingerprint, TimeMs};
use std::collections::HashMap;
use std::hash::Hash;

/// The number of distinct crashes after which a request counts as their cause. The users require
/// this bound. It may be exceeded while observations are in transit, for as long as a daemon may be
/// disconnected, but not after that.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// The window in which crashes count as one. Processes of one host that are killed together end
/// within some 10 ms. A request that is retried every 40 ms crashes two or three more endpoints
/// because of this window.
pub const SAME_CRASH_WINDOW: DurationMs = DurationMs(50);
/// The maximum number of crashes kept per request: a single request doesn't cause that many within
/// one [`SAME_CRASH_WINDOW`].
const MAX_CRASHES: usize = 16;
/// The duration of a quarantine, and the time for which a crash counts. It is the longest lease of
/// the users' store, under which a quarantine survives the restart of all daemons. A longer one
/// would keep out requests that the engines may handle by then.
pub const QUARANTINE_DURATION: DurationMs = DurationMs(600_000);
/// The maximum number of suspects, which have crashes and aren't under quarantine. Those with the
/// fewest crashes are evicted first, then the oldest. Sixteen engines of 64 slots can crash at once
/// with all of their requests. Takes 0.2 MB.
const MAX_SUSPECTS: usize = 1_024;
/// The maximum number of requests under quarantine; the oldest are evicted first. Each of them has
/// crashed three engines. Takes 0.2 MB.
const MAX_QUARANTINED: usize = 4_096;
/// The maximum number of attributed crashes; the oldest are evicted first. Observations of a crash
/// arrive within seconds.
const MAX_ATTRIBUTED: usize = 256;
/// When a map exceeds its maximum, one in this many entries is evicted. The fraction is small, so
/// that little is forgotten early.
const EVICTED_FRACTION: usize = 8;

/// One observation about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashObservation<E> {
    /// The fingerprint of the request.
    pub request: RequestFingerprint,
    /// The time of the observation by this daemon's clock.
    pub at: TimeMs,
    /// The time at which the observed run of the request began; `None` if unknown.
    pub started_at: Option<TimeMs>,
    /// The observed fact.
    pub fact: CrashFact<E>,
}

/// A fact about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashFact<E> {
    /// The request was running at this endpoint when the endpoint crashed.
    Crashed(E),
    /// The request was answered successfully.
    Served,
    /// The request is under quarantine.
    Quarantined,
}

/// The result of recording an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationOutcome {
    /// The observation changes nothing.
    Ignored,
    /// The observation was recorded.
    Recorded,
    /// The observation put the request under quarantine.
    NewlyQuarantined,
}

/// The position up to which observations have been sent to another daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservationCursor(u64);

#[derive(Clone, Copy, Debug)]
struct CountedCrash<E> {
    endpoint: E,
    started_at: Option<TimeMs>,
    at: TimeMs,
    cursor: ObservationCursor,
}

#[derive(Clone, Debug)]
struct Suspect<E> {
    crashes: Vec<CountedCrash<E>>,
    served: Option<(TimeMs, ObservationCursor)>,
}

impl<E> Default for Suspect<E> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            served: None,
        }
    }
}

impl<E: Copy + Eq> Suspect<E> {
    /// Returns the time of the newest observation.
    fn last_observed_at(&self) -> TimeMs {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        let served = self.served.map(|(at, _)| at);
        crashes.chain(served).max().unwrap_or_default()
    }

    /// Returns whether a successful answer at `at` or later clears a crash at `at`.
    fn is_cleared_at(&self, at: TimeMs) -> bool {
        self.served.is_some_and(|(served, _)| served >= at)
    }

    /// Returns the number of crashes, with those in one window counted once.
    fn distinct_crashes(&self) -> usize {
        let mut crashes: Vec<&CountedCrash<E>> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut last: Option<TimeMs> = None;
        let mut distinct_crashes = 0;
        for crash in crashes {
            let is_later = last.is_none_or(|last| crash.at > last + SAME_CRASH_WINDOW);
            let began_later = last.is_some() && crash.started_at >= last;
            if is_later || began_later {
                last = Some(crash.at);
                distinct_crashes += 1;
            }
        }
        distinct_crashes
    }

    fn has_crash_of(&self, endpoint: E) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }
}

#[derive(Clone, Copy, Debug)]
struct Quarantined {
    since: TimeMs,
    cursor: ObservationCursor,
}

#[derive(Clone, Copy, Debug)]
struct AttributedCrash {
    quarantined_request: RequestFingerprint,
    at: TimeMs,
    cursor: ObservationCursor,
}

/// The crash counts of all requests; `E` identifies one incarnation of an endpoint.
#[derive(Debug)]
pub struct CrashCount<E> {
    suspects: HashMap<RequestFingerprint, Suspect<E>>,
    quarantined: HashMap<RequestFingerprint, Quarantined>,
    attributed: HashMap<E, AttributedCrash>,
    newest: ObservationCursor,
}

impl<E> Default for CrashCount<E> {
    fn default() -> Self {
        Self {
            suspects: HashMap::new(),
            quarantined: HashMap::new(),
            attributed: HashMap::new(),
            newest: ObservationCursor::default(),
        }
    }
}

impl<E: Copy + Eq + Hash> CrashCount<E> {
    /// Records an observation.
    pub fn record(&mut self, now: TimeMs, observation: CrashObservation<E>) -> ObservationOutcome {
        if is_expired(now, observation.at) {
            return ObservationOutcome::Ignored;
        }
        match observation.fact {
            CrashFact::Crashed(endpoint) => self.on_crashed(observation, endpoint),
            CrashFact::Served => self.on_served(observation),
            CrashFact::Quarantined => self.quarantine(observation.request, observation.at),
        }
    }

    fn on_crashed(&mut self, observation: CrashObservation<E>, endpoint: E) -> ObservationOutcome {
        if self.attributed.contains_key(&endpoint) {
            return ObservationOutcome::Ignored;
        }
        if let Some(quarantined) = self.quarantined.get(&observation.request) {
            // The crashes that led to the quarantine count for other requests, too: any of them may
            // be the cause.
            if observation.at <= quarantined.since {
                return ObservationOutcome::Ignored;
            }
            self.attribute_crash(observation, endpoint);
            return ObservationOutcome::Recorded;
        }
        let cursor = self.next_cursor();
        let suspect = self.suspects.entry(observation.request).or_default();
        let is_full = suspect.crashes.len() >= MAX_CRASHES;
        if suspect.is_cleared_at(observation.at) || suspect.has_crash_of(endpoint) || is_full {
            return ObservationOutcome::Ignored;
        }
        suspect.crashes.push(CountedCrash {
            endpoint,
            started_at: observation.started_at,
            at: observation.at,
            cursor,
        });
        if suspect.distinct_crashes() >= CRASHES_TO_QUARANTINE {
            let since = suspect.last_observed_at();
            return self.quarantine(observation.request, since);
        }
        evict_lowest_ranked(&mut self.suspects, MAX_SUSPECTS, |suspect| {
            (suspect.crashes.len(), suspect.last_observed_at())
        });
        ObservationOutcome::Recorded
    }

    /// Attributes a crash to a request under quarantine, so that it counts for no other request.
    fn attribute_crash(&mut self, observation: CrashObservation<E>, endpoint: E) {
        let attributed = AttributedCrash {
            quarantined_request: observation.request,
            at: observation.at,
            cursor: self.next_cursor(),
        };
        self.attributed.insert(endpoint, attributed);
        evict_lowest_ranked(&mut self.attributed, MAX_ATTRIBUTED, |known| known.at);
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| crash.endpoint != endpoint);
        }
    }

    fn on_served(&mut self, observation: CrashObservation<E>) -> ObservationOutcome {
        let cursor = self.next_cursor();
        let Some(suspect) = self.suspects.get_mut(&observation.request) else {
            return ObservationOutcome::Ignored;
        };
        if suspect.is_cleared_at(observation.at) {
            return ObservationOutcome::Ignored;
        }
        suspect.served = Some((observation.at, cursor));
        suspect.crashes.retain(|crash| crash.at > observation.at);
        ObservationOutcome::Recorded
    }

    fn quarantine(&mut self, request: RequestFingerprint, since: TimeMs) -> ObservationOutcome {
        if self.quarantined.contains_key(&request) {
            return ObservationOutcome::Ignored;
        }
        self.suspects.remove(&request);
        let cursor = self.next_cursor();
        let quarantined = Quarantined { since, cursor };
        self.quarantined.insert(request, quarantined);
        evict_lowest_ranked(&mut self.quarantined, MAX_QUARANTINED, |known| known.since);
        ObservationOutcome::NewlyQuarantined
    }

    fn next_cursor(&mut self) -> ObservationCursor {
        self.newest.0 += 1;
        self.newest
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: TimeMs) {
        self.quarantined
            .retain(|_, known| !is_expired(now, known.since));
        self.attributed
            .retain(|_, known| !is_expired(now, known.at));
        self.suspects
            .retain(|_, suspect| !is_expired(now, suspect.last_observed_at()));
    }

    /// Returns whether a request is under quarantine at `now`.
    pub fn is_quarantined(&self, now: TimeMs, request: RequestFingerprint) -> bool {
        let known = self.quarantined.get(&request);
        known.is_some_and(|known| !is_expired(now, known.since))
    }

    /// Returns whether a request that isn't under quarantine has crashes.
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    /// Returns the requests under quarantine with the times at which it began.
    pub fn quarantined(&self) -> impl Iterator<Item = (RequestFingerprint, TimeMs)> {
        let known = self.quarantined.iter();
        known.map(|(request, known)| (*request, known.since))
    }

    /// Returns the requests that have crashes and aren't under quarantine.
    pub fn suspects(&self) -> impl Iterator<Item = RequestFingerprint> {
        let suspects = self.suspects.iter();
        let counted = suspects.filter(|(_, suspect)| !suspect.crashes.is_empty());
        counted.map(|(request, _)| *request)
    }

    /// Returns the position of the newest observation.
    pub fn newest_cursor(&self) -> ObservationCursor {
        self.newest
    }

    /// Returns the oldest `max` observations after `cursor`, and the position that they reach.
    pub fn observations_after(
        &self,
        cursor: ObservationCursor,
        max: usize,
    ) -> (Vec<CrashObservation<E>>, ObservationCursor) {
        if cursor == self.newest {
            return (Vec::new(), cursor);
        }
        let mut observations: Vec<(ObservationCursor, CrashObservation<E>)> =
            self.all_observations().collect();
        observations.retain(|(position, _)| *position > cursor);
        observations.sort_unstable_by_key(|(position, _)| *position);
        let is_truncated = observations.len() > max;
        observations.truncate(max);
        let last = observations
            .last()
            .map_or(self.newest, |(position, _)| *position);
        let up_to = if is_truncated { last } else { self.newest };
        (
            observations
                .into_iter()
                .map(|(_, observation)| observation)
                .collect(),
            up_to,
        )
    }

    fn all_observations(&self) -> impl Iterator<Item = (ObservationCursor, CrashObservation<E>)> {
        let crashes = self.suspects.iter().flat_map(|(request, suspect)| {
            let crashes = suspect.crashes.iter().map(|crash| {
                let fact = CrashFact::Crashed(crash.endpoint);
                let observation = new_observation(*request, crash.at, fact);
                let started_at = crash.started_at;
                (
                    crash.cursor,
                    CrashObservation {
                        started_at,
                        ..observation
                    },
                )
            });
            let served = suspect.served.into_iter();
            let served = served
                .map(|(at, cursor)| (cursor, new_observation(*request, at, CrashFact::Served)));
            crashes.chain(served)
        });
        let quarantined = self.quarantined.iter().map(|(request, known)| {
            let observation = new_observation(*request, known.since, CrashFact::Quarantined);
            (known.cursor, observation)
        });
        let attributed = self.attributed.iter().map(|(endpoint, known)| {
            let fact = CrashFact::Crashed(*endpoint);
            (
                known.cursor,
                new_observation(known.quarantined_request, known.at, fact),
            )
        });
        crashes.chain(quarantined).chain(attributed)
    }
}

fn new_observation<E>(
    request: RequestFingerprint,
    at: TimeMs,
    fact: CrashFact<E>,
) -> CrashObservation<E> {
    CrashObservation {
        request,
        at,
        started_at: None,
        fact,
    }
}

fn is_expired(now: TimeMs, at: TimeMs) -> bool {
    now.since(at) >= QUARANTINE_DURATION
}

/// Evicts the lowest-ranked entries of a map that exceeds `max`, an eighth of `max` at once, so
/// that a flood of entries doesn't search for the lowest each time.
fn evict_lowest_ranked<K: Copy + Eq + Hash, V, R: Ord + Copy>(
    map: &mut HashMap<K, V>,
    max: usize,
    rank: impl Fn(&V) -> R,
) {
    if map.len() <= max {
        return;
    }
    let mut ranks: Vec<(R, K)> = map.iter().map(|(key, value)| (rank(value), *key)).collect();
    let dropped = ranks.len() - max + max / EVICTED_FRACTION;
    ranks.select_nth_unstable_by_key(dropped, |(rank, _)| *rank);
    for (_, key) in &ranks[..dropped] {
        map.remove(key);
    }
}
