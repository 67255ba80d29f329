//! The promises, as predicates over what callers and workers saw.

use crate::history::{Arrived, Call, End, History, Kind};
use bridgevane_platform_emulator::Wish;
use derive_more::Display;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// In how long a key's removal is in force everywhere.
pub const KEY_REMOVAL: Duration = Duration::from_millis(2_000);
/// In how long daemons obey a worker's leaving.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// How long nothing must have been wrong for a bound to hold.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// How soon after the last trouble requests are served again.
pub const RECOVERY: Duration = Duration::from_millis(3_000);
/// How soon a daemon that an answer has told acts on it.
pub const TOLD: Duration = Duration::from_millis(500);
/// The span in which a limit is counted.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);
/// Requests that may reach a worker from a daemon while it rests.
pub const WHILE_RESTING: usize = 2;
/// The part of them that must be.
const RECOVERED_SHARE: f64 = 0.9;

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Broken {
    /// A success that isn't the worker's whole answer to this request.
    #[display("{id}: an answer that is not the worker's: {what}")]
    Mixed {
        /// The request.
        id: String,
        /// What was wrong with it.
        what: String,
    },
    /// A request ran more often than it may.
    #[display("{id}: ran {times} times")]
    Twice {
        /// The request.
        id: String,
        /// How often it ran.
        times: usize,
    },
    /// A request that was said not to run did.
    #[display("{id}: {status} said that it had not run, and it had")]
    RefusedAndRun {
        /// The request.
        id: String,
        /// The status that said so.
        status: u16,
    },
    /// A worker ran what nobody asked for.
    #[display("{id}: nobody sent it")]
    Unasked {
        /// The request.
        id: String,
    },
    /// A removed key was used after its bound.
    #[display("{id}: ran {late_ms} ms after the bound of its key's removal")]
    RemovedKey {
        /// The request.
        id: String,
        /// How long after the bound it was sent.
        late_ms: u128,
    },
    /// A worker that leaves got a request after the bound.
    #[display("{id}: reached {worker}, which leaves, {late_ms} ms after the bound")]
    Drained {
        /// The request.
        id: String,
        /// The worker.
        worker: String,
        /// How long after the bound it came.
        late_ms: u128,
    },
    /// A worker that named a limit got more from daemons that it had told.
    #[display("{worker}: {got} requests in {} ms from daemons that knew its limit of {limit} a second, {allowed} are allowed", LIMIT_WINDOW.as_millis())]
    Limited {
        /// The worker.
        worker: String,
        /// Its limit in requests a second.
        limit: f64,
        /// What it got.
        got: usize,
        /// What it may get.
        allowed: usize,
    },
    /// A worker that had told a daemon that it leaves got a request from it after the bound.
    #[display("{id}: reached {worker} from a daemon that knew that it leaves")]
    SentToLeaving {
        /// The request.
        id: String,
        /// The worker.
        worker: String,
    },
    /// A worker that had asked a daemon for rest got more from it than allowed.
    #[display("{worker}: {got} requests of daemon {daemon} in {} ms of rest", rest.as_millis())]
    Unrested {
        /// The worker.
        worker: String,
        /// The daemon.
        daemon: usize,
        /// How long it had asked for.
        rest: Duration,
        /// What it got.
        got: usize,
    },
    /// A planned stop cut a request.
    #[display("{id}: cut by the planned stop of daemon {daemon}")]
    CutByStop {
        /// The request.
        id: String,
        /// The daemon.
        daemon: usize,
    },
    /// A daemon ended though nobody ended it.
    #[display("daemon {daemon} ended by itself, or never started")]
    Ended {
        /// The daemon.
        daemon: usize,
    },
    /// Too little was served after the last trouble.
    #[display("{served} of {asked} were served after the last trouble")]
    NotRecovered {
        /// Requests served.
        served: usize,
        /// Requests sent.
        asked: usize,
    },
}

/// Every promise that a run broke.
pub fn broken(history: &History) -> Vec<Broken> {
    let runs = runs_by_id(history);
    let mut found = Vec::new();
    for call in &history.calls {
        found.extend(mixed(history, call));
        found.extend(twice(call, &runs));
        found.extend(refused_and_run(call, &runs));
        found.extend(removed_key(history, call, &runs));
        found.extend(cut_by_stop(history, call, &runs));
    }
    found.extend(unasked(history));
    found.extend(drained(history));
    found.extend(limited(history));
    found.extend(sent_to_leaving(history));
    found.extend(unrested(history));
    found.extend(not_recovered(history));
    let ended = history.ended.iter();
    found.extend(ended.map(|daemon| Broken::Ended { daemon: *daemon }));
    found
}

type RunsById<'a> = HashMap<&'a str, usize>;

fn runs_by_id(history: &History) -> RunsById<'_> {
    let mut runs = RunsById::new();
    for run in &history.runs {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    runs
}

/// The whole body that a worker answers a request with.
pub fn whole_body(kind: Kind, id: &str, stream_events: u64) -> String {
    if kind == Kind::Once {
        return bridgevane_platform_emulator::whole_body(id);
    }
    let events = 1..=stream_events;
    events
        .map(|at| bridgevane_platform_emulator::event(at, id))
        .collect()
}

fn mixed(history: &History, call: &Call) -> Option<Broken> {
    let End::Answered {
        status,
        is_signed,
        body,
    } = &call.end
    else {
        return None;
    };
    let what = if !(200..300).contains(status) {
        return None;
    } else if !is_signed {
        "no signature".to_owned()
    } else if *body != whole_body(call.kind, &call.id, history.stream_events) {
        format!("body {body:?}")
    } else {
        return None;
    };
    let id = call.id.clone();
    Some(Broken::Mixed { id, what })
}

fn twice(call: &Call, runs: &RunsById<'_>) -> Option<Broken> {
    let times = runs.get(call.id.as_str()).copied().unwrap_or(0);
    let id = call.id.clone();
    (times > 1 && !call.kind.may_repeat()).then_some(Broken::Twice { id, times })
}

fn refused_and_run(call: &Call, runs: &RunsById<'_>) -> Option<Broken> {
    let End::Answered { status, .. } = call.end else {
        return None;
    };
    let promises = matches!(status, 408 | 421 | 429 | 503);
    let id = call.id.clone();
    (promises && runs.contains_key(call.id.as_str()))
        .then_some(Broken::RefusedAndRun { id, status })
}

fn removed_key(history: &History, call: &Call, runs: &RunsById<'_>) -> Option<Broken> {
    if !runs.contains_key(call.id.as_str()) {
        return None;
    }
    let removal = history.removals.iter().find(|r| r.key == call.key)?;
    let late = call.sent_at.checked_sub(removal.at + KEY_REMOVAL)?;
    let calm_from = removal.at.saturating_sub(CONTACT);
    if history.serves_stale && !history.is_calm(calm_from, call.sent_at) {
        return None;
    }
    Some(Broken::RemovedKey {
        id: call.id.clone(),
        late_ms: late.as_millis(),
    })
}

/// A request that was taken by a daemon which was told to stop, and that a worker ran, ends
/// without an answer, though nothing else was wrong.
fn cut_by_stop(history: &History, call: &Call, runs: &RunsById<'_>) -> Option<Broken> {
    if !matches!(call.end, End::CutInside | End::CutBefore) || !runs.contains_key(call.id.as_str())
    {
        return None;
    }
    let calm_from = call.sent_at.saturating_sub(CONTACT);
    let during = |stop: &&crate::history::PlannedStop| {
        stop.daemon == call.daemon && stop.from <= call.ended_at && call.sent_at <= stop.to
    };
    history.stops.iter().find(during)?;
    history
        .is_calm(calm_from, call.ended_at)
        .then(|| Broken::CutByStop {
            id: call.id.clone(),
            daemon: call.daemon,
        })
}

fn unasked(history: &History) -> Vec<Broken> {
    let sent: HashSet<&str> = history.calls.iter().map(|call| call.id.as_str()).collect();
    let runs = history.runs.iter();
    let strange = runs.filter(|run| !sent.contains(run.id.as_str()));
    strange
        .map(|run| Broken::Unasked { id: run.id.clone() })
        .collect()
}

fn drained(history: &History) -> Vec<Broken> {
    let late = |run: &crate::history::Run| {
        let leaving = history.leavings.iter().find(|l| l.worker == run.worker)?;
        let late = run.at.checked_sub(leaving.at + DRAIN)?;
        let calm_from = leaving.at.saturating_sub(CONTACT);
        history.is_calm(calm_from, run.at).then(|| Broken::Drained {
            id: run.id.clone(),
            worker: run.worker.clone(),
            late_ms: late.as_millis(),
        })
    };
    history.runs.iter().filter_map(late).collect()
}

/// Workers that got more than their limit allows, from daemons that had passed on such an answer.
fn limited(history: &History) -> Vec<Broken> {
    let told = ToldDaemons::by(history, |wish| matches!(wish, Wish::Limit(_)));
    let from_told: Vec<(&Arrived, f64)> = history
        .arrivals
        .iter()
        .filter_map(|arrived| match arrived.wish {
            Some(Wish::Limit(limit)) if told.knew(history, arrived, TOLD) => Some((arrived, limit)),
            _ => None,
        })
        .collect();
    let over = from_told.iter().filter_map(|(first, limit)| {
        let window = first.at..first.at + LIMIT_WINDOW;
        let in_window = |(arrived, _): &&(&Arrived, f64)| {
            arrived.worker == first.worker && window.contains(&arrived.at)
        };
        let got = from_told.iter().filter(in_window).count();
        let allowed = (limit * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0).floor() as usize;
        (got > allowed).then(|| Broken::Limited {
            worker: first.worker.clone(),
            limit: *limit,
            got,
            allowed,
        })
    });
    over.take(1).collect()
}

/// Requests at workers that leave, from daemons that had passed on an answer that says so.
fn sent_to_leaving(history: &History) -> Vec<Broken> {
    let told = ToldDaemons::by(history, |wish| *wish == Wish::Leaving);
    let late = history.arrivals.iter().filter(|arrived| {
        arrived.wish == Some(Wish::Leaving) && told.knew(history, arrived, DRAIN)
    });
    late.map(|arrived| Broken::SentToLeaving {
        id: arrived.id.clone(),
        worker: arrived.worker.clone(),
    })
    .collect()
}

/// Workers that asked a daemon for rest, and got more from it meanwhile.
fn unrested(history: &History) -> Vec<Broken> {
    let calls = history.calls.iter();
    let daemon_of: HashMap<&str, usize> =
        calls.map(|call| (call.id.as_str(), call.daemon)).collect();
    let daemon_of = |arrived: &Arrived| daemon_of.get(arrived.id.as_str()).copied();
    let asked = history.arrivals.iter().filter_map(|arrived| {
        let Some(Wish::Rest(rest)) = arrived.wish else {
            return None;
        };
        Some((arrived, daemon_of(arrived)?, rest))
    });
    let broken = asked.filter_map(|(asked, daemon, rest)| {
        let resting = asked.at + TOLD..asked.at + rest;
        if !history.is_calm(asked.at, resting.end) {
            return None;
        }
        let got = history.arrivals.iter().filter(|arrived| {
            arrived.worker == asked.worker
                && resting.contains(&arrived.at)
                && daemon_of(arrived) == Some(daemon)
        });
        let got = got.count();
        (got > WHILE_RESTING).then(|| Broken::Unrested {
            worker: asked.worker.clone(),
            daemon,
            rest,
            got,
        })
    });
    broken.take(1).collect()
}

/// When each daemon had first passed on an answer of a worker with a wish.
struct ToldDaemons<'a> {
    daemon_of: HashMap<&'a str, usize>,
    told_at: HashMap<(&'a str, usize), Duration>,
}

impl<'a> ToldDaemons<'a> {
    fn by(history: &'a History, is_meant: impl Fn(&Wish) -> bool) -> Self {
        let calls = history.calls.iter();
        let by_id: HashMap<&str, &Call> = calls.map(|call| (call.id.as_str(), call)).collect();
        let mut told_at = HashMap::new();
        for arrived in &history.arrivals {
            let Some(call) = by_id.get(arrived.id.as_str()) else {
                continue;
            };
            // The caller has its answer: the daemon has passed it on by then.
            let is_answered = matches!(call.end, End::Answered { .. });
            if is_answered && arrived.wish.as_ref().is_some_and(&is_meant) {
                let key = (arrived.worker.as_str(), call.daemon);
                let at = told_at.entry(key).or_insert(call.ended_at);
                *at = call.ended_at.min(*at);
            }
        }
        Self {
            daemon_of: by_id
                .into_iter()
                .map(|(id, call)| (id, call.daemon))
                .collect(),
            told_at,
        }
    }

    /// Whether the daemon that sent a request had been told so long before, and lived on since.
    fn knew(&self, history: &History, arrived: &Arrived, before: Duration) -> bool {
        let Some(daemon) = self.daemon_of.get(arrived.id.as_str()) else {
            return false;
        };
        let told_at = self.told_at.get(&(arrived.worker.as_str(), *daemon));
        told_at.is_some_and(|told_at| {
            let was_stopped = history.stops.iter().any(|stop| {
                stop.daemon == *daemon && stop.from <= arrived.at && *told_at <= stop.to
            });
            *told_at + before <= arrived.at && !was_stopped && history.is_calm(*told_at, arrived.at)
        })
    }
}

fn not_recovered(history: &History) -> Option<Broken> {
    let from = history.calm_from + RECOVERY;
    let removed: HashSet<&str> = history.removals.iter().map(|r| r.key.as_str()).collect();
    let asked: Vec<&Call> = history
        .calls
        .iter()
        .filter(|call| call.sent_at >= from && !removed.contains(call.key.as_str()))
        .collect();
    let is_served = |call: &&&Call| matches!(call.end, End::Answered { status: 200, .. });
    let served = asked.iter().filter(is_served).count();
    let asked = asked.len();
    let enough = asked as f64 * RECOVERED_SHARE;
    ((served as f64) < enough).then_some(Broken::NotRecovered { served, asked })
}
