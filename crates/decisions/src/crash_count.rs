//! Crash count: which requests end the endpoints that run them, and are no longer passed on?
//!
//! Inputs: news of this daemon, and in the gateway of all others, too ([`CrashNews`]): a request was under way at an
//! endpoint when that ended; a request was answered well; a request is under quarantine. Each with
//! its moment, by this daemon's clock (ms).
//!
//! Rules:
//! - A request under which [`PROOF_CRASHES`] endpoints have ended is put under quarantine for
//!   [`QUARANTINE`]. An endpoint counts once for a request, whoever saw its end and however often:
//!   retries, hedges, resumed streams and other tries of the client are one count.
//! - Endpoints that end within [`SAME_MOMENT`] count as one, unless the later run began after the earlier
//!   end: whoever kills several at once ends them under whatever runs there, such as equal requests of
//!   somebody who polls.
//! - A good answer clears the request of the ends before it: whoever polls with equal requests
//!   isn't to blame for what ended beside them.
//! - An endpoint that ended under a request already under quarantine counts for no other request
//!   that was there: that end is explained.
//!
//! Reason: an endpoint that ends takes all its requests with it, and most of them aren't the cause.
//! One that is comes again, and ends every endpoint that begins it; each end costs the fleet an
//! engine for some seconds, and a customer's repeats took all of a service's engines down.
//!
//! News are a set: the order in which they come, and how often, makes no difference to the count.
//! What is kept is bounded, see the constants.
//!
//! Tests: `crash_count.rs`; `crashing_requests.rs` of the gateway, `crashing_prompts.rs` of `serve`.

use bridgevane_types::{DurationMs, RequestFingerprint, TimeMs};
use std::collections::HashMap;
use std::hash::Hash;

/// Moments at which endpoints end under a request before it is taken for the cause. The users' bound: more may be
/// reached while the news travels, for as long as a daemon may be out of touch, and three later.
pub const PROOF_CRASHES: usize = 3;
/// Ends that are no further apart count once. Not measured, chosen because processes of one host that are
/// killed together end within some 10 ms; a request that comes back every 40 ms ends two or three more
/// endpoints for it.
pub const SAME_MOMENT: DurationMs = DurationMs(50);
/// Ends that are kept of one request at most. Not measured, chosen because so many within one moment are
/// no request's doing.
const MAX_CRASHES: usize = 16;
/// How long a request stays under quarantine, and how long an end counts. Chosen because it is the
/// longest lease of the users' store, under which a quarantine outlives all daemons; not measured.
/// Longer keeps requests out for which the engines may have been mended meanwhile.
pub const QUARANTINE: DurationMs = DurationMs(600_000);
/// Requests that are counted and not under quarantine, at most: those with the fewest ends give
/// way, then the oldest. Not measured, chosen because sixteen engines of 64 slots may end at once
/// with all of their requests; 0.2 MB.
const MAX_SUSPECTS: usize = 1_024;
/// Requests under quarantine at most; the oldest give way. Not measured, chosen because each has
/// cost three engines; 0.2 MB.
const MAX_QUARANTINED: usize = 4_096;
/// Explained ends that are kept at most; the oldest give way. Not measured, chosen because news of
/// an end come within seconds.
const MAX_EXPLAINED: usize = 256;
/// One in so many is dropped when there are too many. Not measured, chosen so that little is forgotten
/// before it must be.
const DROPPED_PART: usize = 8;

/// One fact about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashNews<E> {
    /// The request.
    pub request: RequestFingerprint,
    /// When it was seen, by this daemon's clock.
    pub at: TimeMs,
    /// When the run of it that this is about began; none: it isn't known.
    pub began_at: Option<TimeMs>,
    /// What was seen.
    pub fact: CrashFact<E>,
}

/// What was seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashFact<E> {
    /// It was under way at this endpoint when that ended.
    Crashed(E),
    /// It was answered well.
    Served,
    /// It is under quarantine.
    Quarantined,
}

/// What became of a piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsOutcome {
    /// It changes nothing.
    Known,
    /// It is taken in.
    New,
    /// It puts the request under quarantine.
    Quarantines,
}

/// Up to where news have been told to another daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NewsCursor(u64);

#[derive(Clone, Copy, Debug)]
struct CountedCrash<E> {
    endpoint: E,
    began_at: Option<TimeMs>,
    at: TimeMs,
    cursor: NewsCursor,
}

#[derive(Clone, Debug)]
struct Suspect<E> {
    crashes: Vec<CountedCrash<E>>,
    served: Option<(TimeMs, NewsCursor)>,
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
    fn newest(&self) -> TimeMs {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        let served = self.served.map(|(at, _)| at);
        crashes.chain(served).max().unwrap_or_default()
    }

    fn is_cleared_at(&self, at: TimeMs) -> bool {
        self.served.is_some_and(|(served, _)| served >= at)
    }

    /// Moments at which endpoints have ended.
    fn moments(&self) -> usize {
        let mut crashes: Vec<&CountedCrash<E>> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut last: Option<TimeMs> = None;
        let mut moments = 0;
        for crash in crashes {
            let is_later = last.is_none_or(|last| crash.at > last + SAME_MOMENT);
            let began_later = last.is_some() && crash.began_at >= last;
            if is_later || began_later {
                last = Some(crash.at);
                moments += 1;
            }
        }
        moments
    }

    fn has(&self, endpoint: E) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }
}

#[derive(Clone, Copy, Debug)]
struct Quarantined {
    since: TimeMs,
    cursor: NewsCursor,
}

#[derive(Clone, Copy, Debug)]
struct Explained {
    by: RequestFingerprint,
    at: TimeMs,
    cursor: NewsCursor,
}

/// What is known of all requests; `E` names one life of an endpoint.
#[derive(Debug)]
pub struct CrashCount<E> {
    suspects: HashMap<RequestFingerprint, Suspect<E>>,
    quarantined: HashMap<RequestFingerprint, Quarantined>,
    explained: HashMap<E, Explained>,
    newest: NewsCursor,
}

impl<E> Default for CrashCount<E> {
    fn default() -> Self {
        Self {
            suspects: HashMap::new(),
            quarantined: HashMap::new(),
            explained: HashMap::new(),
            newest: NewsCursor::default(),
        }
    }
}

impl<E: Copy + Eq + Hash> CrashCount<E> {
    /// Takes a piece of news in.
    pub fn take(&mut self, now: TimeMs, news: CrashNews<E>) -> NewsOutcome {
        if is_over(now, news.at) {
            return NewsOutcome::Known;
        }
        match news.fact {
            CrashFact::Crashed(endpoint) => self.on_crashed(news, endpoint),
            CrashFact::Served => self.on_served(news),
            CrashFact::Quarantined => self.quarantine(news.request, news.at),
        }
    }

    fn on_crashed(&mut self, news: CrashNews<E>, endpoint: E) -> NewsOutcome {
        if self.explained.contains_key(&endpoint) {
            return NewsOutcome::Known;
        }
        if let Some(quarantined) = self.quarantined.get(&news.request) {
            // The ends that prove it count for other requests, too: any of them may be the cause.
            if news.at <= quarantined.since {
                return NewsOutcome::Known;
            }
            self.explain(news, endpoint);
            return NewsOutcome::New;
        }
        let cursor = self.next_cursor();
        let suspect = self.suspects.entry(news.request).or_default();
        let is_full = suspect.crashes.len() >= MAX_CRASHES;
        if suspect.is_cleared_at(news.at) || suspect.has(endpoint) || is_full {
            return NewsOutcome::Known;
        }
        suspect.crashes.push(CountedCrash {
            endpoint,
            began_at: news.began_at,
            at: news.at,
            cursor,
        });
        if suspect.moments() >= PROOF_CRASHES {
            let since = suspect.newest();
            return self.quarantine(news.request, since);
        }
        bound(&mut self.suspects, MAX_SUSPECTS, |suspect| {
            (suspect.crashes.len(), suspect.newest())
        });
        NewsOutcome::New
    }

    fn explain(&mut self, news: CrashNews<E>, endpoint: E) {
        let explained = Explained {
            by: news.request,
            at: news.at,
            cursor: self.next_cursor(),
        };
        self.explained.insert(endpoint, explained);
        bound(&mut self.explained, MAX_EXPLAINED, |known| known.at);
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| crash.endpoint != endpoint);
        }
    }

    fn on_served(&mut self, news: CrashNews<E>) -> NewsOutcome {
        let cursor = self.next_cursor();
        let Some(suspect) = self.suspects.get_mut(&news.request) else {
            return NewsOutcome::Known;
        };
        if suspect.is_cleared_at(news.at) {
            return NewsOutcome::Known;
        }
        suspect.served = Some((news.at, cursor));
        suspect.crashes.retain(|crash| crash.at > news.at);
        NewsOutcome::New
    }

    fn quarantine(&mut self, request: RequestFingerprint, since: TimeMs) -> NewsOutcome {
        if self.quarantined.contains_key(&request) {
            return NewsOutcome::Known;
        }
        self.suspects.remove(&request);
        let cursor = self.next_cursor();
        let quarantined = Quarantined { since, cursor };
        self.quarantined.insert(request, quarantined);
        bound(&mut self.quarantined, MAX_QUARANTINED, |known| known.since);
        NewsOutcome::Quarantines
    }

    fn next_cursor(&mut self) -> NewsCursor {
        self.newest.0 += 1;
        self.newest
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: TimeMs) {
        self.quarantined
            .retain(|_, known| !is_over(now, known.since));
        self.explained.retain(|_, known| !is_over(now, known.at));
        self.suspects
            .retain(|_, suspect| !is_over(now, suspect.newest()));
    }

    /// Whether a request is under quarantine at a moment.
    pub fn is_quarantined(&self, now: TimeMs, request: RequestFingerprint) -> bool {
        let known = self.quarantined.get(&request);
        known.is_some_and(|known| !is_over(now, known.since))
    }

    /// Whether endpoints have ended under a request that isn't under quarantine.
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    /// The requests under quarantine, and since when.
    pub fn quarantined(&self) -> impl Iterator<Item = (RequestFingerprint, TimeMs)> {
        let known = self.quarantined.iter();
        known.map(|(request, known)| (*request, known.since))
    }

    /// The requests under which endpoints have ended, and which aren't under quarantine.
    pub fn suspects(&self) -> impl Iterator<Item = RequestFingerprint> {
        let suspects = self.suspects.iter();
        let counted = suspects.filter(|(_, suspect)| !suspect.crashes.is_empty());
        counted.map(|(request, _)| *request)
    }

    /// Up to where there is news.
    pub fn newest(&self) -> NewsCursor {
        self.newest
    }

    /// The oldest `max` news after `cursor`, and up to where they go.
    pub fn news_after(&self, cursor: NewsCursor, max: usize) -> (Vec<CrashNews<E>>, NewsCursor) {
        if cursor == self.newest {
            return (Vec::new(), cursor);
        }
        let mut news: Vec<(NewsCursor, CrashNews<E>)> = self.all_news().collect();
        news.retain(|(at, _)| *at > cursor);
        news.sort_unstable_by_key(|(at, _)| *at);
        let is_cut = news.len() > max;
        news.truncate(max);
        let last = news.last().map_or(self.newest, |(at, _)| *at);
        let told = if is_cut { last } else { self.newest };
        (news.into_iter().map(|(_, news)| news).collect(), told)
    }

    fn all_news(&self) -> impl Iterator<Item = (NewsCursor, CrashNews<E>)> {
        let crashes = self.suspects.iter().flat_map(|(request, suspect)| {
            let crashes = suspect.crashes.iter().map(|crash| {
                let fact = CrashFact::Crashed(crash.endpoint);
                let told = news(*request, crash.at, fact);
                let began_at = crash.began_at;
                (crash.cursor, CrashNews { began_at, ..told })
            });
            let served = suspect.served.into_iter();
            let served = served.map(|(at, cursor)| (cursor, news(*request, at, CrashFact::Served)));
            crashes.chain(served)
        });
        let quarantined = self.quarantined.iter().map(|(request, known)| {
            let told = news(*request, known.since, CrashFact::Quarantined);
            (known.cursor, told)
        });
        let explained = self.explained.iter().map(|(endpoint, known)| {
            let fact = CrashFact::Crashed(*endpoint);
            (known.cursor, news(known.by, known.at, fact))
        });
        crashes.chain(quarantined).chain(explained)
    }
}

fn news<E>(request: RequestFingerprint, at: TimeMs, fact: CrashFact<E>) -> CrashNews<E> {
    CrashNews {
        request,
        at,
        began_at: None,
        fact,
    }
}

fn is_over(now: TimeMs, at: TimeMs) -> bool {
    now.since(at) >= QUARANTINE
}

/// Keeps a map at `max` entries: where there are more, the least by rank go, an eighth of all at once,
/// so that a flood of entries doesn't look for the least each time.
fn bound<K: Copy + Eq + Hash, V, R: Ord + Copy>(
    map: &mut HashMap<K, V>,
    max: usize,
    rank: impl Fn(&V) -> R,
) {
    if map.len() <= max {
        return;
    }
    let mut ranks: Vec<(R, K)> = map.iter().map(|(key, value)| (rank(value), *key)).collect();
    let dropped = ranks.len() - max + max / DROPPED_PART;
    ranks.select_nth_unstable_by_key(dropped, |(rank, _)| *rank);
    for (_, key) in &ranks[..dropped] {
        map.remove(key);
    }
}
