//! Crash count: which requests, and which parts of prompts, crash the endpoints that run them and must
//! no longer be sent?
//!
//! Inputs: observations of this daemon and, in the gateway, of all other daemons
//! ([`CrashObservation`]): a request, or a request with a part in its prompt, was running at an endpoint
//! when the endpoint crashed; it was answered successfully; it is under quarantine. Each observation
//! has a time by this daemon's clock (ms).
//!
//! Rules for all suspects:
//! - A crash counts once per suspect and endpoint, however many daemons report it and however often:
//!   retries, hedges, resumed streams and repeated requests of the client all count as one.
//! - Crashes within [`SAME_CRASH_WINDOW`] count as one, unless the later run began after the
//!   earlier crash. Processes that are killed together crash under whatever they run, such as
//!   identical requests of a client that polls.
//! - A successful answer clears its request and the parts of its prompt of all earlier crashes: they
//!   aren't the cause of the crashes that happened while they ran. One that clears no known crash of a
//!   part is ignored: every daemon has answers with a part that many requests have.
//! - A crash under a suspect that is already under quarantine is attributed to that suspect, and
//!   counts for no other that was running there.
//! - A quarantine lasts [`QUARANTINE_DURATION`].
//!
//! A request under which [`CRASHES_TO_QUARANTINE`] endpoints have crashed is put under quarantine at
//! once. A part of prompts stands beside others in each request, so it is put under quarantine
//! ([`CrashCount::review`]) only if
//! - as many crashes under it are [`SETTLE_TIME`] old, so that what the other daemons saw of them and
//!   of their ends is known, and
//! - no other suspect explains them: no request, and no other part with more crashes, was running at
//!   all of them. Among parts with the same crashes all are the cause after
//!   [`CRASHES_WITHOUT_OTHER_CAUSE`].
//!
//! The crashes of a part that is put under quarantine are attributed to it.
//!
//! Reason: a crash ends all requests of an endpoint, and most of them aren't the cause. A request
//! that is the cause crashes every endpoint that starts it when it is retried. Each crash costs the
//! fleet an engine for some seconds, and the retries of one customer took down all engines of a
//! service. The first part of a prompt is in nearly every request, also in those that crash engines: it
//! must not be stopped, and neither must a session that merely ran beside them.
//!
//! Observations form a set: duplicates make no difference to the count, and neither does the order,
//! except that it decides which crashes are attributed, and which answers with a part are ignored. The
//! amount of state is bounded by the constants below.
//!
//! Tests: `crash_count.rs`, `crash_count_parts.rs`; `crashing_requests.rs` and `crashing_parts.rs` of the
//! gateway, `crashing_prompts.rs` of `serve`.

use bridgevane_types::{CrashSuspect, DurationMs, TimeMs};
use std::collections::HashMap;
use std::hash::Hash;

/// The number of distinct crashes after which a request or part may count as their cause. The users require
/// this bound. It may be exceeded while observations are in transit, for as long as a daemon may be
/// disconnected, but not after that.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// The window in which crashes count as one. Processes of one host that are killed together end
/// within some 10 ms. A request that is retried every 40 ms crashes two or three more endpoints
/// because of this window.
pub const SAME_CRASH_WINDOW: DurationMs = DurationMs(50);
/// The maximum number of crashes kept per suspect: a single request doesn't cause that many within
/// one [`SAME_CRASH_WINDOW`], and a part not within [`SETTLE_TIME`].
const MAX_CRASHES: usize = 16;
/// The number of distinct crashes after which all parts that were running at each of them count as the
/// cause. The users require this bound.
pub const CRASHES_WITHOUT_OTHER_CAUSE: usize = 5;
/// How long a crash under a part of a prompt must be known before it counts: observations of other
/// daemons take up to 0.7 s.
pub const SETTLE_TIME: DurationMs = DurationMs(1_000);
/// The duration of a quarantine, and the time for which a crash counts. It is the longest lease of
/// the users' store, under which a quarantine survives the restart of all daemons. A longer one
/// would keep out requests that the engines may handle by then.
pub const QUARANTINE_DURATION: DurationMs = DurationMs(600_000);
/// The maximum number of suspect requests, and that of suspect parts, which have crashes and aren't
/// under quarantine. Those with the fewest crashes are evicted first, then the oldest. Sixteen engines
/// of 64 slots can crash at once with all of their requests. Takes 0.2 MB each.
const MAX_SUSPECTS: usize = 1_024;
/// The maximum number of requests and parts under quarantine; the oldest are evicted first. Each of them has
/// crashed three engines. Takes 0.2 MB.
const MAX_QUARANTINED: usize = 4_096;
/// The maximum number of attributed crashes; the oldest are evicted first. Observations of a crash
/// arrive within seconds.
const MAX_ATTRIBUTED: usize = 256;
/// When a map exceeds its maximum, one in this many entries is evicted. The fraction is small, so
/// that little is forgotten early.
const EVICTED_FRACTION: usize = 8;

/// One observation about a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashObservation<E> {
    /// The request or part.
    pub suspect: CrashSuspect,
    /// The time of the observation by this daemon's clock.
    pub at: TimeMs,
    /// The time at which the observed run began; `None` if unknown.
    pub started_at: Option<TimeMs>,
    /// The observed fact.
    pub fact: CrashFact<E>,
}

/// A fact about a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashFact<E> {
    /// It was running at this endpoint when the endpoint crashed.
    Crashed(E),
    /// It was answered successfully.
    Served,
    /// It is under quarantine.
    Quarantined,
}

/// The result of recording an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationOutcome {
    /// The observation changes nothing.
    Ignored,
    /// The observation was recorded.
    Recorded,
    /// The observation put the suspect under quarantine.
    NewlyQuarantined,
}

/// The position up to which observations have been sent to another daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservationCursor(u64);

impl ObservationCursor {
    fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

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

    /// Returns the number of crashes up to `until`, with those in one window counted once.
    fn distinct_crashes(&self, until: TimeMs) -> usize {
        let known = self.crashes.iter();
        let mut crashes: Vec<&CountedCrash<E>> = known.filter(|crash| crash.at <= until).collect();
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

/// The suspects of each kind, which are bounded separately: an endpoint runs more requests than parts.
#[derive(Clone, Debug)]
struct Suspects<E> {
    requests: HashMap<CrashSuspect, Suspect<E>>,
    parts: HashMap<CrashSuspect, Suspect<E>>,
}

impl<E> Default for Suspects<E> {
    fn default() -> Self {
        Self {
            requests: HashMap::new(),
            parts: HashMap::new(),
        }
    }
}

impl<E> Suspects<E> {
    /// Returns the suspects of the same kind.
    fn like(&self, suspect: CrashSuspect) -> &HashMap<CrashSuspect, Suspect<E>> {
        match suspect {
            CrashSuspect::Request(_) => &self.requests,
            CrashSuspect::Part(_) => &self.parts,
        }
    }

    fn like_mut(&mut self, suspect: CrashSuspect) -> &mut HashMap<CrashSuspect, Suspect<E>> {
        match suspect {
            CrashSuspect::Request(_) => &mut self.requests,
            CrashSuspect::Part(_) => &mut self.parts,
        }
    }

    fn iter(&self) -> impl Iterator<Item = (&CrashSuspect, &Suspect<E>)> {
        self.requests.iter().chain(&self.parts)
    }

    fn values_mut(&mut self) -> impl Iterator<Item = &mut Suspect<E>> {
        let requests = self.requests.values_mut();
        requests.chain(self.parts.values_mut())
    }
}

#[derive(Clone, Debug)]
struct Quarantined<E> {
    since: TimeMs,
    cursor: ObservationCursor,
    /// The endpoints that had crashed under it before.
    endpoints: Vec<E>,
}

#[derive(Clone, Copy, Debug)]
struct AttributedCrash {
    cause: CrashSuspect,
    at: TimeMs,
    cursor: ObservationCursor,
}

/// The crash counts of all suspects; `E` identifies one incarnation of an endpoint.
#[derive(Debug)]
pub struct CrashCount<E> {
    suspects: Suspects<E>,
    quarantined: HashMap<CrashSuspect, Quarantined<E>>,
    attributed: HashMap<E, AttributedCrash>,
    newest: ObservationCursor,
}

impl<E> Default for CrashCount<E> {
    fn default() -> Self {
        Self {
            suspects: Suspects::default(),
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
            CrashFact::Quarantined => self.quarantine(observation.suspect, observation.at),
        }
    }

    fn on_crashed(&mut self, observation: CrashObservation<E>, endpoint: E) -> ObservationOutcome {
        if self.attributed.contains_key(&endpoint) {
            return ObservationOutcome::Ignored;
        }
        if let Some(quarantined) = self.quarantined.get(&observation.suspect) {
            // The crashes that led to the quarantine of a request count for others, too: any of them
            // may be the cause.
            if observation.suspect.is_request() && observation.at <= quarantined.since {
                return ObservationOutcome::Ignored;
            }
            self.attribute_crash(observation, endpoint);
            return ObservationOutcome::Recorded;
        }
        let cursor = self.newest.next();
        let suspects = self.suspects.like_mut(observation.suspect);
        let suspect = suspects.entry(observation.suspect).or_default();
        let is_full = suspect.crashes.len() >= MAX_CRASHES;
        if suspect.is_cleared_at(observation.at) || suspect.has_crash_of(endpoint) || is_full {
            return ObservationOutcome::Ignored;
        }
        self.newest = cursor;
        suspect.crashes.push(CountedCrash {
            endpoint,
            started_at: observation.started_at,
            at: observation.at,
            cursor,
        });
        let crashes = || suspect.distinct_crashes(TimeMs(u64::MAX));
        if observation.suspect.is_request() && crashes() >= CRASHES_TO_QUARANTINE {
            let since = suspect.last_observed_at();
            return self.quarantine(observation.suspect, since);
        }
        evict_lowest_ranked(suspects, MAX_SUSPECTS, |suspect| {
            (suspect.crashes.len(), suspect.last_observed_at())
        });
        ObservationOutcome::Recorded
    }

    /// Attributes a crash to a suspect under quarantine, so that it counts for no other.
    fn attribute_crash(&mut self, observation: CrashObservation<E>, endpoint: E) {
        let attributed = AttributedCrash {
            cause: observation.suspect,
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
        let cursor = self.newest.next();
        let suspects = self.suspects.like_mut(observation.suspect);
        let Some(suspect) = suspects.get_mut(&observation.suspect) else {
            return ObservationOutcome::Ignored;
        };
        let clears_crash = suspect
            .crashes
            .iter()
            .any(|crash| crash.at <= observation.at);
        // Every daemon answers requests with a part that many have.
        let is_needed = observation.suspect.is_request() || clears_crash;
        if suspect.is_cleared_at(observation.at) || !is_needed {
            return ObservationOutcome::Ignored;
        }
        self.newest = cursor;
        suspect.served = Some((observation.at, cursor));
        suspect.crashes.retain(|crash| crash.at > observation.at);
        ObservationOutcome::Recorded
    }

    fn quarantine(&mut self, suspect: CrashSuspect, since: TimeMs) -> ObservationOutcome {
        if self.quarantined.contains_key(&suspect) {
            return ObservationOutcome::Ignored;
        }
        let removed = self.suspects.like_mut(suspect).remove(&suspect);
        let crashes = removed.map_or_else(Vec::new, |removed| removed.crashes);
        let quarantined = Quarantined {
            since,
            cursor: self.next_cursor(),
            endpoints: crashes.iter().map(|crash| crash.endpoint).collect(),
        };
        self.quarantined.insert(suspect, quarantined);
        if !suspect.is_request() {
            for crash in crashes {
                let fact = CrashFact::Crashed(crash.endpoint);
                let observation = new_observation(suspect, crash.at, fact);
                self.attribute_crash(observation, crash.endpoint);
            }
        }
        evict_lowest_ranked(&mut self.quarantined, MAX_QUARANTINED, |known| known.since);
        ObservationOutcome::NewlyQuarantined
    }

    /// Puts the parts under quarantine that are the cause of crashes which are old enough, and returns
    /// them.
    pub fn review(&mut self, now: TimeMs) -> Vec<CrashSuspect> {
        let until = TimeMs(now.0.saturating_sub(SETTLE_TIME.0));
        // Most parts have a single crash, and this runs with every observation.
        let mut parts: Vec<(usize, CrashSuspect)> = (self.suspects.parts.iter())
            .filter(|(_, known)| known.crashes.len() >= CRASHES_TO_QUARANTINE)
            .map(|(part, known)| (known.distinct_crashes(until), *part))
            .filter(|(crashes, _)| *crashes >= CRASHES_TO_QUARANTINE)
            .collect();
        parts.sort_unstable_by(|one, other| other.cmp(one));
        let causes: Vec<CrashSuspect> = (parts.into_iter())
            .filter(|(crashes, part)| {
                let may_share = *crashes >= CRASHES_WITHOUT_OTHER_CAUSE;
                !self.has_other_cause(*part, until, may_share)
            })
            .map(|(_, part)| part)
            .collect();
        for part in &causes {
            self.quarantine(*part, now);
        }
        causes
    }

    /// Returns whether another suspect was running at all crashes of a part up to `until`: a request, or
    /// a part that has more crashes, or as many unless several parts may be the cause.
    fn has_other_cause(&self, part: CrashSuspect, until: TimeMs, may_share: bool) -> bool {
        let Some(known) = self.suspects.parts.get(&part) else {
            return true;
        };
        let settled: Vec<E> = (known.crashes.iter())
            .filter(|crash| crash.at <= until)
            .map(|crash| crash.endpoint)
            .collect();
        let by_suspect = self.suspects.iter().any(|(other, at_other)| {
            let has_more = at_other.crashes.len() > known.crashes.len();
            let may_explain = *other != part && (has_more || other.is_request() || !may_share);
            may_explain
                && settled
                    .iter()
                    .all(|endpoint| at_other.has_crash_of(*endpoint))
        });
        let by_quarantined = self.quarantined.values();
        let mut by_quarantined = by_quarantined.map(|other| &other.endpoints);
        by_suspect || by_quarantined.any(|at| settled.iter().all(|endpoint| at.contains(endpoint)))
    }

    fn next_cursor(&mut self) -> ObservationCursor {
        self.newest = self.newest.next();
        self.newest
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: TimeMs) {
        self.quarantined
            .retain(|_, known| !is_expired(now, known.since));
        self.attributed
            .retain(|_, known| !is_expired(now, known.at));
        for suspects in [&mut self.suspects.requests, &mut self.suspects.parts] {
            suspects.retain(|_, suspect| !is_expired(now, suspect.last_observed_at()));
        }
    }

    /// Returns whether a suspect is under quarantine at `now`.
    pub fn is_quarantined(&self, now: TimeMs, suspect: CrashSuspect) -> bool {
        let known = self.quarantined.get(&suspect);
        known.is_some_and(|known| !is_expired(now, known.since))
    }

    /// Returns whether a request or part that isn't under quarantine has crashes.
    pub fn is_suspect(&self, suspect: CrashSuspect) -> bool {
        let known = self.suspects.like(suspect).get(&suspect);
        known.is_some_and(|known| !known.crashes.is_empty())
    }

    /// Returns what is under quarantine with the times at which it began.
    pub fn quarantined(&self) -> impl Iterator<Item = (CrashSuspect, TimeMs)> {
        let known = self.quarantined.iter();
        known.map(|(suspect, known)| (*suspect, known.since))
    }

    /// Returns what has crashes and isn't under quarantine, with their number.
    pub fn suspects(&self) -> impl Iterator<Item = (CrashSuspect, usize)> {
        let suspects = self.suspects.iter();
        let counted = suspects.map(|(suspect, known)| (*suspect, known.crashes.len()));
        counted.filter(|(_, crashes)| *crashes > 0)
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
        let crashes = self.suspects.iter().flat_map(|(suspect, known)| {
            let crashes = known.crashes.iter().map(|crash| {
                let fact = CrashFact::Crashed(crash.endpoint);
                let observation = new_observation(*suspect, crash.at, fact);
                let started_at = crash.started_at;
                (
                    crash.cursor,
                    CrashObservation {
                        started_at,
                        ..observation
                    },
                )
            });
            let served = known.served.into_iter();
            let served = served
                .map(|(at, cursor)| (cursor, new_observation(*suspect, at, CrashFact::Served)));
            crashes.chain(served)
        });
        let quarantined = self.quarantined.iter().map(|(suspect, known)| {
            let observation = new_observation(*suspect, known.since, CrashFact::Quarantined);
            (known.cursor, observation)
        });
        let attributed = self.attributed.iter().map(|(endpoint, known)| {
            let fact = CrashFact::Crashed(*endpoint);
            (known.cursor, new_observation(known.cause, known.at, fact))
        });
        crashes.chain(quarantined).chain(attributed)
    }
}

fn new_observation<E>(
    suspect: CrashSuspect,
    at: TimeMs,
    fact: CrashFact<E>,
) -> CrashObservation<E> {
    CrashObservation {
        suspect,
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
