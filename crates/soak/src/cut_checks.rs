//! Checks that callers of daemons which are cut off from all workers are served like those of the
//! others.

use crate::cut_plan::Cut;
use crate::history::{CallEnd, RecordedCall, RouteKind};
use derive_more::Display;
use std::collections::HashMap;
use std::time::Duration;

/// The time after the begin of a cut, or the end of a disturbance of a daemon, from which its callers
/// must be served.
pub const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// The least share of the calls at daemons that are cut off, of that at the others, that must be served.
const MIN_RATIO: f64 = 0.95;
/// The number of failures that is always allowed, beside one in [`ALLOWED_ONE_IN`] of all calls.
const ALLOWED_FAILURES: usize = 10;
const ALLOWED_ONE_IN: usize = 50;

/// A time in which a daemon was killed, stopped or paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// The daemon.
    pub daemon: usize,
    /// Its start, from the start of the calls.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

/// The record of a run. Each call is a first try: callers don't repeat them.
#[derive(Clone, Debug, Default)]
pub struct CutHistory {
    /// The calls of all callers.
    pub calls: Vec<RecordedCall>,
    /// The ids of the runs at all workers.
    pub executed_ids: Vec<String>,
    /// The cuts.
    pub cuts: Vec<Cut>,
    /// The number of daemons.
    pub daemons: usize,
    /// The strikes.
    pub disturbances: Vec<Disturbance>,
}

/// The first tries of one kind of route during one cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tries {
    /// Those at daemons that are cut off.
    pub cut_off: usize,
    /// Those of them that were served.
    pub cut_off_served: usize,
    /// Those at the others.
    pub others: usize,
    /// Those of them that were served.
    pub others_served: usize,
}

impl Tries {
    fn add(&mut self, is_cut_off: bool, is_served: bool) {
        let (tries, served) = if is_cut_off {
            (&mut self.cut_off, &mut self.cut_off_served)
        } else {
            (&mut self.others, &mut self.others_served)
        };
        *tries += 1;
        *served += usize::from(is_served);
    }

    /// Returns how often tries at daemons that are cut off are served, as a share of how often the
    /// others are; `None` if one of both has no tries, or the others served none.
    pub fn ratio(&self) -> Option<f64> {
        let share = |served: usize, tries: usize| (tries > 0).then(|| served as f64 / tries as f64);
        let others = share(self.others_served, self.others).filter(|share| *share > 0.0)?;
        Some(share(self.cut_off_served, self.cut_off)? / others)
    }

    fn failures(&self) -> usize {
        self.cut_off + self.others - self.cut_off_served - self.others_served
    }
}

/// A violated guarantee.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum CutViolation {
    /// Callers of daemons that were cut off were served less often than others.
    #[display(
        "{cut}: {kind:?} calls at daemons that were cut off {} of {}, at the others {} of {}",
        tries.cut_off_served, tries.cut_off, tries.others_served, tries.others
    )]
    ServedLess {
        /// The cut.
        cut: Cut,
        /// The route.
        kind: RouteKind,
        /// The tries.
        tries: Tries,
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
    #[display("{id}: ran although it was refused")]
    RanDespiteRefusal {
        /// The request.
        id: String,
    },
}

impl CutHistory {
    /// Counts the tries of a route during a cut at daemons that weren't disturbed lately.
    pub fn tries(&self, cut: &Cut, kind: RouteKind) -> Tries {
        let span = cut.at + CONTACT_TIME..cut.at + cut.lasts;
        let mut tries = Tries::default();
        for call in &self.calls {
            let is_counted = call.kind == kind
                && span.contains(&call.sent_at)
                // A cut that heals under a call is another trouble.
                && call.ended_at < cut.at + cut.lasts
                && !self.is_disturbed(call.daemon, call)
                && self.has_way(cut, call);
            if is_counted {
                let is_cut_off = cut.target.strikes(call.daemon, self.daemons);
                tries.add(is_cut_off, is_served(call));
            }
        }
        tries
    }

    /// Returns the lowest ratio over all cuts and routes.
    pub fn lowest_share(&self) -> Option<f64> {
        let ratios = self.cuts.iter().flat_map(|cut| {
            let of_kind = move |kind| self.tries(cut, kind).ratio();
            KINDS.into_iter().filter_map(of_kind)
        });
        ratios.reduce(f64::min)
    }

    /// Returns whether a daemon that wasn't disturbed lately reached the workers during a call.
    fn has_way(&self, cut: &Cut, call: &RecordedCall) -> bool {
        let mut spared =
            (0..self.daemons).filter(|daemon| !cut.target.strikes(*daemon, self.daemons));
        spared.any(|daemon| !self.is_disturbed(daemon, call))
    }

    /// Returns whether a daemon was disturbed during a call, or shortly before.
    fn is_disturbed(&self, daemon: usize, call: &RecordedCall) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|disturbance| {
            disturbance.daemon == daemon
                && disturbance.from <= call.ended_at
                && call.sent_at <= disturbance.to + CONTACT_TIME
        })
    }
}

const KINDS: [RouteKind; 3] = [RouteKind::Once, RouteKind::Stream, RouteKind::Resumable];

fn is_served(call: &RecordedCall) -> bool {
    matches!(call.end, CallEnd::Answered { status: 200, .. })
}

/// Returns all violations of a run.
pub fn find_cut_violations(history: &CutHistory) -> Vec<CutViolation> {
    let mut found = Vec::new();
    for cut in &history.cuts {
        for kind in KINDS {
            let tries = history.tries(cut, kind);
            let allowed = ALLOWED_FAILURES + (tries.cut_off + tries.others) / ALLOWED_ONE_IN;
            let is_less = tries.ratio().is_some_and(|ratio| ratio < MIN_RATIO);
            if is_less && tries.failures() > allowed {
                let cut = *cut;
                found.push(CutViolation::ServedLess { cut, kind, tries });
            }
        }
    }
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for id in &history.executed_ids {
        *runs.entry(id).or_default() += 1;
    }
    for call in &history.calls {
        let times = runs.get(call.id.as_str()).copied().unwrap_or_default();
        let id = call.id.clone();
        if times > 1 && !call.kind.may_repeat() {
            found.push(CutViolation::RanTooOften { id, times });
        } else if times > 0 && matches!(call.end, CallEnd::Answered { status: 503, .. }) {
            found.push(CutViolation::RanDespiteRefusal { id });
        }
    }
    found
}
