//! What callers and workers saw in a run.

use bridgevane_platform_emulator::Wish;
use std::time::Duration;

/// How a route's requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Once at most, answered whole.
    Once,
    /// Once at most, answered by a stream.
    Stream,
    /// A stream that may be taken up elsewhere.
    Resumable,
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        self == Self::Resumable
    }

    /// The route's path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Stream => "/stream/x",
            Self::Resumable => "/resume/x",
        }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer that looked complete.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it had a worker's signature.
        is_signed: bool,
        /// Its body.
        body: String,
    },
    /// The connection ended inside the answer.
    CutInside,
    /// The connection ended without an answer.
    CutBefore,
    /// The caller's time was over.
    TimedOut,
    /// No connection came about: nothing was sent.
    NotConnected,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identifier.
    pub id: String,
    /// Its route's kind.
    pub kind: Kind,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// The key that it carried.
    pub key: String,
    /// When it was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: End,
}

/// One run at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub id: String,
    /// The worker.
    pub worker: String,
    /// When the request reached the worker.
    pub at: Duration,
}

/// A request that reached a worker, whether it ran or not.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrived {
    /// The request.
    pub id: String,
    /// The worker.
    pub worker: String,
    /// When it came.
    pub at: Duration,
    /// What the answer asked for.
    pub wish: Option<Wish>,
}

/// A key that the store acknowledged as removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// The key.
    pub key: String,
    /// When the acknowledgement came.
    pub at: Duration,
}

/// A worker that was told to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The worker.
    pub worker: String,
    /// When the store acknowledged it.
    pub at: Duration,
}

/// A daemon's planned stop, from its signal to the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The daemon.
    pub daemon: usize,
    /// When the signal was sent.
    pub from: Duration,
    /// When the process had ended.
    pub to: Duration,
}

/// A time in which something unplanned was wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disruption {
    /// Its begin.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

/// A whole run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All calls.
    pub calls: Vec<Call>,
    /// All runs.
    pub runs: Vec<Run>,
    /// All requests that reached workers.
    pub arrivals: Vec<Arrived>,
    /// Keys that were removed.
    pub removals: Vec<Removal>,
    /// Workers that left.
    pub leavings: Vec<Leaving>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Unplanned trouble.
    pub disruptions: Vec<Disruption>,
    /// Daemons that had ended by themselves when the run was over.
    pub ended: Vec<usize>,
    /// When the last trouble was over.
    pub calm_from: Duration,
    /// Events of a whole stream.
    pub stream_events: u64,
    /// Daemons serve on without a proof: a removed key may be used while something is wrong.
    pub serves_stale: bool,
}

impl History {
    /// Whether nothing unplanned was wrong between two moments.
    pub fn is_calm(&self, from: Duration, to: Duration) -> bool {
        let overlaps = |disruption: &Disruption| disruption.from <= to && from <= disruption.to;
        !self.disruptions.iter().any(overlaps)
    }
}
