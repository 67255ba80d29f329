//! Checks of the duties while the store comes back from copies, by what their interface and the workers
//! saw.
//!
//! All times are wall times, since 1970: windows of usage are spans of the wall clock.

use bridgevane_platform_emulator::{DutyCall, DutyRequest, SubmittedUsage};
use derive_more::Display;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime};

/// The duration of the holder's lease.
pub const LEASE: Duration = Duration::from_secs(3);
/// The length of a window of usage.
pub const WINDOW: Duration = Duration::from_secs(5);
/// The time after the end of a window in which its usage must be submitted.
pub const LATE: Duration = Duration::from_secs(10);
/// The greatest time between the moments at which a daemon counts a request and its worker begins it.
const EDGE: Duration = Duration::from_millis(300);
/// The least share of the requests that workers began that must be reported.
const MIN_REPORTED: f64 = 0.95;
/// The time in which a holder that reaches the store submits a window, collection of the daemons'
/// counts included.
const SUBMIT_TIME: Duration = Duration::from_secs(2);

/// A span of time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{} to {} ms", from.as_millis(), to.as_millis())]
pub struct Span {
    /// Its start.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

impl Span {
    /// Returns whether it overlaps another one.
    pub fn overlaps(self, other: Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// A time in which a daemon was killed, stopped, paused or cut off from the store, until it was back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The time.
    pub span: Span,
    /// Whether it was the holder of the duties when the time began.
    pub is_holder: bool,
}

/// A request that a worker began, at its first worker if there were several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunRequest {
    /// Its customer.
    pub customer: String,
    /// When it began.
    pub at: Duration,
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct CopyHistory {
    /// The calls that the interface for duties took, in order of arrival.
    pub calls: Vec<DutyCall>,
    /// The requests that workers began.
    pub begun: Vec<BegunRequest>,
    /// The times in which the store was away before it came back from a copy.
    pub returns: Vec<Span>,
    /// The daemons that were lost.
    pub losses: Vec<Loss>,
    /// The times in which writes were late.
    pub late_writes: Vec<Span>,
    /// The start and end of the calls.
    pub calls_span: Option<Span>,
}

/// A violated guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CopyViolation {
    /// Two reports of a window have different counts.
    #[display("ONE: window {window} was reported with {first:?}, then with {second:?} by {holder}")]
    DifferentCounts {
        /// The window.
        window: u64,
        /// The first counts.
        first: BTreeMap<String, u32>,
        /// The later counts.
        second: BTreeMap<String, u32>,
        /// The holder that sent the later ones.
        holder: String,
    },
    /// A call has a lower fence than an earlier one.
    #[display("the fence fell from {before} ({holder_before}) to {after} ({holder_after})")]
    FenceFell {
        /// The highest fence before.
        before: u64,
        /// Its holder.
        holder_before: String,
        /// The lower fence.
        after: u64,
        /// Its holder.
        holder_after: String,
    },
    /// Two daemons called with the same fence.
    #[display("fence {fence} came from {first} and from {second}")]
    SharedFence {
        /// The fence.
        fence: u64,
        /// The first daemon.
        first: String,
        /// The other one.
        second: String,
    },
    /// A daemon called, then another one, then the first one again, within a lease.
    #[display("{holder} called again {} ms after its last call, and {other} between", after.as_millis())]
    HolderCameBack {
        /// The first daemon.
        holder: String,
        /// The one that called between.
        other: String,
        /// The time between the two calls of the first one.
        after: Duration,
    },
    /// More requests of a customer were reported than workers began.
    #[display("window {window}: {reported} requests of {customer} reported, {begun} began")]
    CountedTooMany {
        /// The window.
        window: u64,
        /// The customer.
        customer: String,
        /// The count that was reported.
        reported: usize,
        /// The number that workers began.
        begun: usize,
    },
    /// Fewer requests were reported than workers began, though no daemon was lost.
    #[display("window {window}: {reported} requests reported, {begun} began")]
    CountedTooFew {
        /// The window.
        window: u64,
        /// The sum of the counts that were reported.
        reported: usize,
        /// The number that workers began.
        begun: usize,
    },
    /// A window wasn't submitted in time, though the holder wasn't lost in a return meanwhile.
    #[display("window {window} ({span}) wasn't submitted in time: {cause}")]
    WindowMissed {
        /// The window.
        window: u64,
        /// The window's time.
        span: Span,
        /// What happened from its start to the time at which it was due.
        cause: MissCause,
    },
}

impl CopyViolation {
    /// Returns whether a window is missing; all others are broken rules of what is submitted.
    pub fn is_missed_window(&self) -> bool {
        matches!(self, Self::WindowMissed { .. })
    }
}

/// What happened while a window that is missing could have been submitted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MissCause {
    /// Nothing.
    #[display("undisturbed")]
    Nothing,
    /// The store came back from a copy, and no daemon was lost.
    #[display("a plain return")]
    PlainReturn,
    /// A daemon was lost, and the store didn't come back from a copy.
    #[display("a lost daemon, no return")]
    Loss,
    /// A daemon that wasn't the holder was lost while the store came back.
    #[display("another daemon than the holder lost in a return")]
    OtherLossInReturn,
    /// The holder was lost while the store came back: the window may be missing.
    #[display("the holder lost in a return")]
    HolderLossInReturn,
    /// The store was away, or a new holder had to wait, for almost all of the time: the window may be
    /// missing.
    #[display("no time left")]
    NoTime,
}

impl MissCause {
    /// Returns whether the window may be missing.
    pub fn is_allowed(self) -> bool {
        matches!(self, Self::HolderLossInReturn | Self::NoTime)
    }
}

/// Returns the time of a window.
pub fn window_span(window: u64) -> Span {
    let from = Duration::from_secs(window * WINDOW.as_secs());
    Span {
        from,
        to: from + WINDOW,
    }
}

fn wall(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

impl CopyHistory {
    fn usage(&self) -> impl Iterator<Item = (Duration, &SubmittedUsage)> {
        let usage = |call: &'_ DutyCall| wall(call.at);
        self.calls
            .iter()
            .filter_map(move |call| match &call.request {
                DutyRequest::Usage(submitted) => Some((usage(call), submitted)),
                DutyRequest::Order(_) => None,
            })
    }

    /// Returns the windows of which all must be submitted in time: those that began after the calls did,
    /// and were due before the calls ended.
    pub fn judged_windows(&self) -> std::ops::Range<u64> {
        let Some(calls) = self.calls_span else {
            return 0..0;
        };
        let first = calls.from.as_secs().div_ceil(WINDOW.as_secs());
        let end = calls.to.saturating_sub(LATE).as_secs() / WINDOW.as_secs();
        first..end.max(first)
    }

    /// Returns the windows that weren't submitted in time, with what happened meanwhile.
    pub fn missed_windows(&self) -> Vec<(u64, MissCause)> {
        let mut submitted_at: HashMap<u64, Duration> = HashMap::new();
        for (at, usage) in self.usage() {
            submitted_at.entry(usage.window).or_insert(at);
        }
        let is_missed = |window: &u64| {
            let due = window_span(*window).to + LATE;
            submitted_at.get(window).is_none_or(|at| *at > due)
        };
        let missed = self.judged_windows().filter(is_missed);
        missed
            .map(|window| (window, self.miss_cause(window)))
            .collect()
    }

    fn miss_cause(&self, window: u64) -> MissCause {
        let span = window_span(window);
        let open = Span {
            from: span.from,
            to: span.to + LATE,
        };
        let has_return = self.returns.iter().any(|span| span.overlaps(open));
        let has_time = self.time_left(open.to) >= SUBMIT_TIME;
        let mut losses = self.losses.iter().filter(|loss| loss.span.overlaps(open));
        let has_holder_loss = losses.clone().any(|loss| loss.is_holder);
        match (has_return, losses.next().is_some()) {
            (true, _) if has_holder_loss => MissCause::HolderLossInReturn,
            _ if !has_time => MissCause::NoTime,
            (true, true) => MissCause::OtherLossInReturn,
            (true, false) => MissCause::PlainReturn,
            (false, true) => MissCause::Loss,
            (false, false) => MissCause::Nothing,
        }
    }

    /// Returns the time from the end of a window to the time at which it is due in which a holder could
    /// act: it can't while the store is away or late, and for a lease after its return.
    fn time_left(&self, due: Duration) -> Duration {
        let waits = |span: &Span| Span {
            from: span.from,
            to: span.to + LEASE,
        };
        let mut blocked: Vec<Span> = self.returns.iter().map(waits).collect();
        blocked.extend(&self.late_writes);
        blocked.sort_by_key(|span| span.from);
        let mut at = due - LATE;
        let mut left = Duration::ZERO;
        for span in blocked {
            left += span.from.min(due).saturating_sub(at);
            at = at.max(span.to);
        }
        left + due.saturating_sub(at)
    }

    /// Returns whether a daemon was lost from a window's start to the time at which it was due.
    fn has_loss(&self, window: u64) -> bool {
        let span = window_span(window);
        let open = Span {
            from: span.from,
            to: span.to + LATE,
        };
        self.losses.iter().any(|loss| loss.span.overlaps(open))
    }
}

/// Returns all violations of a run.
pub fn find_copy_violations(history: &CopyHistory) -> Vec<CopyViolation> {
    let mut found = different_counts(history);
    found.extend(wrong_fences(history));
    found.extend(holders_that_came_back(history));
    found.extend(wrong_counts(history));
    let missed = history.missed_windows().into_iter();
    let missed = missed.filter(|(_, cause)| !cause.is_allowed());
    found.extend(missed.map(|(window, cause)| CopyViolation::WindowMissed {
        window,
        span: window_span(window),
        cause,
    }));
    found
}

fn different_counts(history: &CopyHistory) -> Vec<CopyViolation> {
    let mut first: HashMap<u64, &SubmittedUsage> = HashMap::new();
    let mut found = Vec::new();
    for (_, usage) in history.usage() {
        let first = first.entry(usage.window).or_insert(usage);
        if first.counts != usage.counts {
            found.push(CopyViolation::DifferentCounts {
                window: usage.window,
                first: first.counts.clone(),
                second: usage.counts.clone(),
                holder: usage.holder.clone(),
            });
        }
    }
    found
}

fn wrong_fences(history: &CopyHistory) -> Vec<CopyViolation> {
    let mut found = Vec::new();
    let mut owners: HashMap<u64, &str> = HashMap::new();
    let mut highest: Option<&DutyCall> = None;
    for call in &history.calls {
        let owner = *owners.entry(call.fence).or_insert(&call.holder);
        if owner != call.holder {
            found.push(CopyViolation::SharedFence {
                fence: call.fence,
                first: owner.to_owned(),
                second: call.holder.clone(),
            });
        }
        match highest {
            Some(before) if before.fence > call.fence => found.push(CopyViolation::FenceFell {
                before: before.fence,
                holder_before: before.holder.clone(),
                after: call.fence,
                holder_after: call.holder.clone(),
            }),
            _ => highest = Some(call),
        }
    }
    found
}

fn holders_that_came_back(history: &CopyHistory) -> Vec<CopyViolation> {
    let mut found = Vec::new();
    let mut last_at: HashMap<&str, Duration> = HashMap::new();
    let mut previous: Option<&str> = None;
    for call in &history.calls {
        let (holder, at) = (call.holder.as_str(), wall(call.at));
        let before = last_at.insert(holder, at);
        let other = previous.replace(holder).filter(|other| *other != holder);
        if let (Some(other), Some(before)) = (other, before) {
            let after = at.saturating_sub(before);
            if after < LEASE {
                found.push(CopyViolation::HolderCameBack {
                    holder: holder.to_owned(),
                    other: other.to_owned(),
                    after,
                });
            }
        }
    }
    found
}

fn wrong_counts(history: &CopyHistory) -> Vec<CopyViolation> {
    let mut found = Vec::new();
    let mut seen = HashMap::new();
    for (_, usage) in history.usage() {
        if seen.insert(usage.window, ()).is_some() {
            continue;
        }
        found.extend(counted_too_many(history, usage));
        let is_judged = history.judged_windows().contains(&usage.window);
        if is_judged && !history.has_loss(usage.window) {
            found.extend(counted_too_few(history, usage));
        }
    }
    found
}

/// Returns the customers of which a report has more requests than workers began about in its window.
fn counted_too_many(history: &CopyHistory, usage: &SubmittedUsage) -> Vec<CopyViolation> {
    let span = window_span(usage.window);
    let (from, to) = (span.from - EDGE, span.to + EDGE);
    let mut begun: HashMap<&str, usize> = HashMap::new();
    for request in &history.begun {
        if (from..to).contains(&request.at) {
            *begun.entry(&request.customer).or_default() += 1;
        }
    }
    let counts = usage.counts.iter().filter_map(|(customer, reported)| {
        let begun = begun.get(customer.as_str()).copied().unwrap_or_default();
        let reported = *reported as usize;
        (reported > begun).then(|| CopyViolation::CountedTooMany {
            window: usage.window,
            customer: customer.clone(),
            reported,
            begun,
        })
    });
    counts.collect()
}

/// Returns a violation if a report has clearly fewer requests than workers began inside its window.
fn counted_too_few(history: &CopyHistory, usage: &SubmittedUsage) -> Option<CopyViolation> {
    let span = window_span(usage.window);
    let inside = span.from + EDGE..span.to - EDGE;
    let begun = history.begun.iter();
    let begun = begun.filter(|request| inside.contains(&request.at)).count();
    let reported = usage.counts.values().map(|count| *count as usize).sum();
    let is_too_few = (reported as f64) < MIN_REPORTED * begun as f64;
    is_too_few.then_some(CopyViolation::CountedTooFew {
        window: usage.window,
        reported,
        begun,
    })
}
