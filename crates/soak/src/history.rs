//! The record of a run: calls of callers, runs at workers, and injected faults.

use bridgevane_platform_emulator::Announcement;
use std::time::Duration;

/// How often a route's requests may run, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// At most once; the answer has one body.
    Once,
    /// At most once; the answer is a stream.
    Stream,
    /// The answer is a stream that may be resumed on another worker.
    Resumable,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        self == Self::Resumable
    }

    /// Returns the route's path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Stream => "/stream/x",
            Self::Resumable => "/resume/x",
        }
    }
}

/// The end of a call as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// An answer that arrived completely as far as HTTP tells.
    Answered {
        /// The status code.
        status: u16,
        /// Whether it carried a valid signature of a worker.
        is_signed: bool,
        /// The body.
        body: String,
    },
    /// The connection ended in the middle of the answer.
    CutInside,
    /// The connection ended before an answer.
    CutBefore,
    /// No complete answer arrived within the caller's deadline.
    TimedOut,
    /// No connection was established, or nothing was sent on it.
    NotConnected,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// The request's id.
    pub id: String,
    /// The route's kind.
    pub kind: RouteKind,
    /// The daemon to which it was sent.
    pub daemon: usize,
    /// The API key that it carried.
    pub key: String,
    /// When it was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: CallEnd,
}

/// One run of a request at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub id: String,
    /// The worker.
    pub worker: String,
    /// When the request reached the worker.
    pub at: Duration,
    /// The software version of the worker.
    pub version: String,
    /// The event after which a stream was resumed.
    pub last_event_id: Option<u64>,
}

/// A request that reached a worker, whether it ran or not.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// The request.
    pub id: String,
    /// The worker.
    pub worker: String,
    /// When it arrived.
    pub at: Duration,
    /// What the answer announced.
    pub announcement: Option<Announcement>,
}

/// The removal of an API key, acknowledged by the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRemoval {
    /// The key.
    pub key: String,
    /// When the store acknowledged it.
    pub at: Duration,
}

/// The change of a worker's record to draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerDrain {
    /// The worker.
    pub worker: String,
    /// When the store acknowledged it.
    pub at: Duration,
}

/// A planned stop of a daemon, from its signal to the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The daemon.
    pub daemon: usize,
    /// When the signal was sent.
    pub from: Duration,
    /// When the process had ended.
    pub to: Duration,
}

/// A period with an unplanned fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disruption {
    /// Its start.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

/// The record of a run; times count from the start of the calls.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The calls of all callers.
    pub calls: Vec<RecordedCall>,
    /// The runs at all workers.
    pub runs: Vec<Run>,
    /// The requests that reached workers.
    pub arrivals: Vec<RequestArrival>,
    /// The removals of API keys.
    pub removals: Vec<KeyRemoval>,
    /// The workers that were drained.
    pub drains: Vec<WorkerDrain>,
    /// The planned stops of daemons.
    pub stops: Vec<PlannedStop>,
    /// The periods with unplanned faults.
    pub disruptions: Vec<Disruption>,
    /// The daemons that were not running at the end although no fault had ended them.
    pub ended_daemons: Vec<usize>,
    /// The end of the last unplanned fault.
    pub undisturbed_from: Duration,
    /// The number of events of a complete stream.
    pub stream_events: u64,
    /// Whether daemons continue to serve without a proof: a removed key may then be used during an
    /// unplanned fault.
    pub serves_stale: bool,
}

impl History {
    /// Returns whether no unplanned fault overlaps the period.
    pub fn is_undisturbed(&self, from: Duration, to: Duration) -> bool {
        let overlaps = |disruption: &Disruption| disruption.from <= to && from <= disruption.to;
        !self.disruptions.iter().any(overlaps)
    }
}
