//! Checks the gateway's guarantees over the record of a run.

use crate::history::{CallEnd, History, RecordedCall, RequestArrival, RouteKind, Run};
use bridgevane_platform_emulator::Announcement;
use derive_more::Display;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The time within which all daemons must enforce the removal of a key.
pub const KEY_REMOVAL_BOUND: Duration = Duration::from_millis(2_000);
/// The time within which daemons must stop sending to a worker that drains or is leaving.
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// The length of the period without unplanned faults that must precede an event for a bound to
/// hold.
pub const UNDISTURBED_PERIOD: Duration = Duration::from_millis(3_000);
/// The time after the last unplanned fault within which requests must be served again.
pub const RECOVERY_BOUND: Duration = Duration::from_millis(3_000);
/// The time within which a daemon must act on an announcement after forwarding its answer.
pub const REACTION_BOUND: Duration = Duration::from_millis(500);
/// The window over which requests are counted against a limit.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);
/// The number of requests that a daemon may send to a worker during the worker's back-off.
pub const MAX_DURING_BACKOFF: usize = 2;
/// The share of requests that must be served after [`RECOVERY_BOUND`].
const MIN_SERVED_SHARE: f64 = 0.9;

/// A violated guarantee.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Violation {
    /// A successful answer that isn't the worker's complete answer to this request.
    #[display("{id}: the answer differs from the worker's: {what}")]
    WrongAnswer {
        /// The request.
        id: String,
        /// The difference.
        what: String,
    },
    /// A request ran more often than permitted.
    #[display("{id}: ran {times} times")]
    RanTooOften {
        /// The request.
        id: String,
        /// The number of runs.
        times: usize,
    },
    /// A request ran although its answer guarantees that it didn't.
    #[display("{id}: ran although the answer {status} says that it did not")]
    RanDespiteRefusal {
        /// The request.
        id: String,
        /// The status of the answer.
        status: u16,
    },
    /// A stream was resumed at a software version that had not run it before.
    #[display("{id}: resumed by {worker} at version {version}, which did not begin it")]
    ResumedAtOtherVersion {
        /// The request.
        id: String,
        /// The worker.
        worker: String,
        /// The worker's version.
        version: String,
    },
    /// A worker ran a request that no caller sent.
    #[display("{id}: ran but was never sent")]
    NeverSent {
        /// The request.
        id: String,
    },
    /// A request with a removed key ran after the bound.
    #[display("{id}: ran with a removed key {late_ms} ms after the bound")]
    RanWithRemovedKey {
        /// The request.
        id: String,
        /// The time after the bound at which it was sent.
        late_ms: u128,
    },
    /// A request reached a draining worker after the bound.
    #[display("{id}: reached draining worker {worker} {late_ms} ms after the bound")]
    SentToDraining {
        /// The request.
        id: String,
        /// The worker.
        worker: String,
        /// The time after the bound at which it arrival.
        late_ms: u128,
    },
    /// A worker got more requests than its limit from daemons that knew the limit.
    #[display("{worker}: {got} requests in {} ms from daemons that knew its limit of {limit} per second; {allowed} are allowed", LIMIT_WINDOW.as_millis())]
    LimitExceeded {
        /// The worker.
        worker: String,
        /// Its limit in requests per second.
        limit: f64,
        /// The number of requests that reached it.
        got: usize,
        /// The number of requests allowed.
        allowed: usize,
    },
    /// A daemon sent a request to a worker although it knew that the worker is leaving.
    #[display("{id}: reached {worker} from a daemon that knew that it is leaving")]
    SentToLeaving {
        /// The request.
        id: String,
        /// The worker.
        worker: String,
    },
    /// A daemon sent more requests than allowed to a worker that had requested a back-off.
    #[display("{worker}: {got} requests from daemon {daemon} during a back-off of {} ms", backoff.as_millis())]
    SentDuringBackoff {
        /// The worker.
        worker: String,
        /// The daemon.
        daemon: usize,
        /// The requested back-off.
        backoff: Duration,
        /// The number of requests that the daemon sent.
        got: usize,
    },
    /// A planned stop ended a request before its answer was complete.
    #[display("{id}: cut by the planned stop of daemon {daemon}")]
    CutByStop {
        /// The request.
        id: String,
        /// The daemon.
        daemon: usize,
    },
    /// A daemon wasn't running at the end although no fault had ended it.
    #[display("daemon {daemon} ended by itself, or never started")]
    DaemonEnded {
        /// The daemon.
        daemon: usize,
    },
    /// Too few requests were served after the last unplanned fault.
    #[display("{served} of {sent} requests were served after the last unplanned fault")]
    NotRecovered {
        /// The number of requests served.
        served: usize,
        /// The number of requests sent.
        sent: usize,
    },
}

/// Returns all violations of a run.
pub fn find_violations(history: &History) -> Vec<Violation> {
    let runs = runs_by_id(history);
    let mut found = Vec::new();
    for call in &history.calls {
        found.extend(wrong_answer(history, call));
        found.extend(ran_too_often(call, &runs));
        found.extend(ran_despite_refusal(call, &runs));
        found.extend(ran_with_removed_key(history, call, &runs));
        found.extend(cut_by_stop(history, call, &runs));
    }
    found.extend(resumed_at_other_version(history));
    found.extend(never_sent(history));
    found.extend(sent_to_draining(history));
    found.extend(limit_exceeded(history));
    found.extend(sent_to_leaving(history));
    found.extend(sent_during_backoff(history));
    found.extend(not_recovered(history));
    let ended = history.ended_daemons.iter();
    found.extend(ended.map(|daemon| Violation::DaemonEnded { daemon: *daemon }));
    found
}

/// Finds streams that went on at a version of which no earlier run of the stream was.
fn resumed_at_other_version(history: &History) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(run.id.as_str()).or_default().push(run);
    }
    let is_wrong = |run: &&Run| {
        let mut others = runs[run.id.as_str()].iter();
        let has_begun = others.any(|other| other.at < run.at && other.version == run.version);
        run.last_event_id.is_some() && !has_begun
    };
    let wrong = history.runs.iter().filter(is_wrong);
    wrong
        .map(|run| Violation::ResumedAtOtherVersion {
            id: run.id.clone(),
            worker: run.worker.clone(),
            version: run.version.clone(),
        })
        .collect()
}

type RunsById<'a> = HashMap<&'a str, usize>;

fn runs_by_id(history: &History) -> RunsById<'_> {
    let mut runs = RunsById::new();
    for run in &history.runs {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    runs
}

/// Returns the complete body with which a worker answers a request.
pub fn whole_body(kind: RouteKind, id: &str, stream_events: u64) -> String {
    if kind == RouteKind::Once {
        return bridgevane_platform_emulator::whole_body(id);
    }
    let events = 1..=stream_events;
    events
        .map(|at| bridgevane_platform_emulator::event(at, id))
        .collect()
}

/// Finds a success whose signature or body isn't the worker's.
fn wrong_answer(history: &History, call: &RecordedCall) -> Option<Violation> {
    let CallEnd::Answered {
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
    Some(Violation::WrongAnswer { id, what })
}

/// Finds a request that ran more often than its route permits.
fn ran_too_often(call: &RecordedCall, runs: &RunsById<'_>) -> Option<Violation> {
    let times = runs.get(call.id.as_str()).copied().unwrap_or(0);
    let id = call.id.clone();
    (times > 1 && !call.kind.may_repeat()).then_some(Violation::RanTooOften { id, times })
}

/// Finds a request that ran although the status of its answer guarantees that it didn't.
fn ran_despite_refusal(call: &RecordedCall, runs: &RunsById<'_>) -> Option<Violation> {
    let CallEnd::Answered { status, .. } = call.end else {
        return None;
    };
    let is_refusal = matches!(status, 408 | 421 | 429 | 503);
    let id = call.id.clone();
    (is_refusal && runs.contains_key(call.id.as_str()))
        .then_some(Violation::RanDespiteRefusal { id, status })
}

/// Finds a request that was sent with a removed key after the bound, and that ran.
fn ran_with_removed_key(
    history: &History,
    call: &RecordedCall,
    runs: &RunsById<'_>,
) -> Option<Violation> {
    if !runs.contains_key(call.id.as_str()) {
        return None;
    }
    let removal = history.removals.iter().find(|r| r.key == call.key)?;
    let late = call.sent_at.checked_sub(removal.at + KEY_REMOVAL_BOUND)?;
    let undisturbed_from = removal.at.saturating_sub(UNDISTURBED_PERIOD);
    if history.serves_stale && !history.is_undisturbed(undisturbed_from, call.sent_at) {
        return None;
    }
    Some(Violation::RanWithRemovedKey {
        id: call.id.clone(),
        late_ms: late.as_millis(),
    })
}

/// Finds a request that a worker ran but whose answer was cut while its daemon performed a planned
/// stop, without any unplanned fault.
fn cut_by_stop(history: &History, call: &RecordedCall, runs: &RunsById<'_>) -> Option<Violation> {
    if !matches!(call.end, CallEnd::CutInside | CallEnd::CutBefore)
        || !runs.contains_key(call.id.as_str())
    {
        return None;
    }
    let undisturbed_from = call.sent_at.saturating_sub(UNDISTURBED_PERIOD);
    let during = |stop: &&crate::history::PlannedStop| {
        stop.daemon == call.daemon && stop.from <= call.ended_at && call.sent_at <= stop.to
    };
    history.stops.iter().find(during)?;
    history
        .is_undisturbed(undisturbed_from, call.ended_at)
        .then(|| Violation::CutByStop {
            id: call.id.clone(),
            daemon: call.daemon,
        })
}

/// Finds runs of requests that no caller sent.
fn never_sent(history: &History) -> Vec<Violation> {
    let sent: HashSet<&str> = history.calls.iter().map(|call| call.id.as_str()).collect();
    let runs = history.runs.iter();
    let unknown = runs.filter(|run| !sent.contains(run.id.as_str()));
    unknown
        .map(|run| Violation::NeverSent { id: run.id.clone() })
        .collect()
}

/// Finds requests at draining workers after the bound.
fn sent_to_draining(history: &History) -> Vec<Violation> {
    let late = |run: &crate::history::Run| {
        let drain = history
            .drains
            .iter()
            .find(|drain| drain.worker == run.worker)?;
        let late = run.at.checked_sub(drain.at + DRAIN_BOUND)?;
        let undisturbed_from = drain.at.saturating_sub(UNDISTURBED_PERIOD);
        history
            .is_undisturbed(undisturbed_from, run.at)
            .then(|| Violation::SentToDraining {
                id: run.id.clone(),
                worker: run.worker.clone(),
                late_ms: late.as_millis(),
            })
    };
    history.runs.iter().filter_map(late).collect()
}

/// Finds a worker that got more requests than its limit allows from daemons that had forwarded an
/// answer announcing the limit.
fn limit_exceeded(history: &History) -> Vec<Violation> {
    let informed = InformedDaemons::from_history(history, |announced| {
        matches!(announced, Announcement::Limit(_))
    });
    let from_informed: Vec<(&RequestArrival, f64)> = history
        .arrivals
        .iter()
        .filter_map(|arrival| match arrival.announcement {
            Some(Announcement::Limit(limit))
                if informed.has_known(history, arrival, REACTION_BOUND) =>
            {
                Some((arrival, limit))
            }
            _ => None,
        })
        .collect();
    let exceeded = from_informed.iter().filter_map(|(first, limit)| {
        let window = first.at..first.at + LIMIT_WINDOW;
        let in_window = |(arrival, _): &&(&RequestArrival, f64)| {
            arrival.worker == first.worker && window.contains(&arrival.at)
        };
        let got = from_informed.iter().filter(in_window).count();
        let allowed = (limit * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0).floor() as usize;
        (got > allowed).then(|| Violation::LimitExceeded {
            worker: first.worker.clone(),
            limit: *limit,
            got,
            allowed,
        })
    });
    exceeded.take(1).collect()
}

/// Finds requests at leaving workers from daemons that had forwarded an answer announcing it.
fn sent_to_leaving(history: &History) -> Vec<Violation> {
    let informed =
        InformedDaemons::from_history(history, |announced| *announced == Announcement::Leaving);
    let late = history.arrivals.iter().filter(|arrival| {
        arrival.announcement == Some(Announcement::Leaving)
            && informed.has_known(history, arrival, DRAIN_BOUND)
    });
    late.map(|arrival| Violation::SentToLeaving {
        id: arrival.id.clone(),
        worker: arrival.worker.clone(),
    })
    .collect()
}

/// Finds a worker that requested a back-off from a daemon and got too many requests from it
/// meanwhile.
fn sent_during_backoff(history: &History) -> Vec<Violation> {
    let calls = history.calls.iter();
    let daemon_of: HashMap<&str, usize> =
        calls.map(|call| (call.id.as_str(), call.daemon)).collect();
    let daemon_of = |arrival: &RequestArrival| daemon_of.get(arrival.id.as_str()).copied();
    let backoffs = history.arrivals.iter().filter_map(|arrival| {
        let Some(Announcement::Backoff(backoff)) = arrival.announcement else {
            return None;
        };
        Some((arrival, daemon_of(arrival)?, backoff))
    });
    let violations = backoffs.filter_map(|(announcing, daemon, backoff)| {
        let window = announcing.at + REACTION_BOUND..announcing.at + backoff;
        if !history.is_undisturbed(announcing.at, window.end) {
            return None;
        }
        let got = history.arrivals.iter().filter(|arrival| {
            arrival.worker == announcing.worker
                && window.contains(&arrival.at)
                && daemon_of(arrival) == Some(daemon)
        });
        let got = got.count();
        (got > MAX_DURING_BACKOFF).then(|| Violation::SentDuringBackoff {
            worker: announcing.worker.clone(),
            daemon,
            backoff,
            got,
        })
    });
    violations.take(1).collect()
}

/// When each daemon first forwarded an answer in which a worker made an announcement.
struct InformedDaemons<'a> {
    daemon_of: HashMap<&'a str, usize>,
    informed_at: HashMap<(&'a str, usize), Duration>,
}

impl<'a> InformedDaemons<'a> {
    fn from_history(history: &'a History, is_expected: impl Fn(&Announcement) -> bool) -> Self {
        let calls = history.calls.iter();
        let by_id: HashMap<&str, &RecordedCall> =
            calls.map(|call| (call.id.as_str(), call)).collect();
        let mut informed_at = HashMap::new();
        for arrival in &history.arrivals {
            let Some(call) = by_id.get(arrival.id.as_str()) else {
                continue;
            };
            // The caller has its answer, so the daemon has forwarded it by then.
            let is_answered = matches!(call.end, CallEnd::Answered { .. });
            if is_answered && arrival.announcement.as_ref().is_some_and(&is_expected) {
                let key = (arrival.worker.as_str(), call.daemon);
                let at = informed_at.entry(key).or_insert(call.ended_at);
                *at = call.ended_at.min(*at);
            }
        }
        Self {
            daemon_of: by_id
                .into_iter()
                .map(|(id, call)| (id, call.daemon))
                .collect(),
            informed_at,
        }
    }

    /// Returns whether the daemon that sent a request had known the announcement for at least
    /// `before`, and has run without interruption since.
    fn has_known(&self, history: &History, arrival: &RequestArrival, before: Duration) -> bool {
        let Some(daemon) = self.daemon_of.get(arrival.id.as_str()) else {
            return false;
        };
        let informed_at = self.informed_at.get(&(arrival.worker.as_str(), *daemon));
        informed_at.is_some_and(|informed_at| {
            let was_stopped = history.stops.iter().any(|stop| {
                stop.daemon == *daemon && stop.from <= arrival.at && *informed_at <= stop.to
            });
            *informed_at + before <= arrival.at
                && !was_stopped
                && history.is_undisturbed(*informed_at, arrival.at)
        })
    }
}

/// Checks the share of served requests after the last unplanned fault.
fn not_recovered(history: &History) -> Option<Violation> {
    let from = history.undisturbed_from + RECOVERY_BOUND;
    let removed: HashSet<&str> = history.removals.iter().map(|r| r.key.as_str()).collect();
    let sent: Vec<&RecordedCall> = history
        .calls
        .iter()
        .filter(|call| call.sent_at >= from && !removed.contains(call.key.as_str()))
        .collect();
    let is_served =
        |call: &&&RecordedCall| matches!(call.end, CallEnd::Answered { status: 200, .. });
    let served = sent.iter().filter(is_served).count();
    let sent = sent.len();
    let required = sent as f64 * MIN_SERVED_SHARE;
    ((served as f64) < required).then_some(Violation::NotRecovered { served, sent })
}
