//! The guarantees of `serve`, checked over the log of decisions: for tests, benchmarks and the
//! demo's verdict.
//!
//! The checks are independent of the code that decides, and the product doesn't contain them.

use bridgevane_decisions::{CancelCause, Decision, DecisionRecord, EndpointIx};
use bridgevane_types::{Outcome, RefusalCode, RequestId, Tier};
use derive_more::Display;
use std::collections::{HashMap, HashSet};

/// A guarantee that the log shows as broken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BrokenPromise {
    /// A request was refused under pressure while preemptible work of a lower tier held a slot.
    #[display("{request} of tier {tier} was refused while tier {lower} held a slot")]
    RefusedAboveLower {
        /// The refused request.
        request: RequestId,
        /// Its tier.
        tier: Tier,
        /// The tier that kept its slot.
        lower: Tier,
    },
    /// A request was preempted for a tier that isn't higher.
    #[display("{request} of tier {tier} was preempted for tier {for_tier}")]
    PreemptedForLower {
        /// The preempted request.
        request: RequestId,
        /// Its tier.
        tier: Tier,
        /// The tier that got its slot.
        for_tier: Tier,
    },
    /// A request was reported as not run although an attempt may have run.
    #[display("{request} was said to be not run, but may have run")]
    FalseNotRun {
        /// The request.
        request: RequestId,
    },
    /// A non-repeatable request was sent again although an attempt may have run.
    #[display("{request} may not be repeated, but was sent again")]
    Repeated {
        /// The request.
        request: RequestId,
    },
    /// A request got two final answers.
    #[display("{request} got two final answers")]
    AnsweredTwice {
        /// The request.
        request: RequestId,
    },
    /// Two attempts of a request ran at the same time.
    #[display("two attempts of {request} ran at the same time")]
    RanTwiceAtOnce {
        /// The request.
        request: RequestId,
    },
}

/// The state of one request as far as the log tells it.
#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    tier: Tier,
    is_repeatable: bool,
    is_preemptible: bool,
    running_on: Option<EndpointIx>,
    is_protected: bool,
    /// Whether an attempt ended of which the log doesn't prove that it never ran.
    may_have_run: bool,
    is_answered: bool,
}

/// Checks a log that contains every decision of a pool from its start.
pub fn check_promises<'a>(
    records: impl IntoIterator<Item = &'a DecisionRecord>,
) -> Vec<BrokenPromise> {
    let mut checker = PromiseChecker::default();
    for record in records {
        checker.apply(&record.decision);
    }
    checker.broken
}

/// Replays a log and collects the broken guarantees.
#[derive(Default)]
struct PromiseChecker {
    requests: HashMap<RequestId, TrackedRequest>,
    /// The number of running requests that are preemptible and unprotected, by tier and engine.
    preemptible: HashMap<(Tier, EndpointIx), usize>,
    /// Engines whose slots other work can't use.
    unusable_engines: HashSet<EndpointIx>,
    broken: Vec<BrokenPromise>,
}

impl PromiseChecker {
    fn apply(&mut self, decision: &Decision) {
        match *decision {
            Decision::Offered {
                request,
                tier,
                is_repeatable,
                is_preemptible,
                ..
            } => {
                let tracked = TrackedRequest {
                    tier,
                    is_repeatable,
                    is_preemptible,
                    running_on: None,
                    is_protected: false,
                    may_have_run: false,
                    is_answered: false,
                };
                self.requests.insert(request, tracked);
            }
            Decision::Queued { .. } => {}
            Decision::Dispatched {
                request,
                engine,
                is_protected,
                ..
            } => self.on_dispatched(request, engine, is_protected),
            Decision::EngineUse { engine, is_in_use } => {
                if is_in_use {
                    self.unusable_engines.remove(&engine);
                } else {
                    self.unusable_engines.insert(engine);
                }
            }
            Decision::Cancelled {
                request,
                cause,
                for_tier,
                ..
            } => self.on_cancelled(request, cause, for_tier),
            Decision::Lost {
                request,
                may_have_run,
                ..
            } => {
                self.end_attempt(request);
                if let Some(tracked) = self.requests.get_mut(&request) {
                    tracked.may_have_run |= may_have_run;
                }
            }
            Decision::Done { request, .. } => {
                self.end_attempt(request);
                self.end_request(request);
            }
            Decision::Refused {
                request,
                code,
                outcome,
            } => self.on_refused(request, code, outcome),
        }
    }

    fn on_dispatched(&mut self, request: RequestId, engine: EndpointIx, is_protected: bool) {
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        if tracked.running_on.is_some() {
            self.broken.push(BrokenPromise::RanTwiceAtOnce { request });
        }
        if tracked.may_have_run && !tracked.is_repeatable {
            self.broken.push(BrokenPromise::Repeated { request });
        }
        tracked.running_on = Some(engine);
        tracked.is_protected = is_protected;
        if tracked.is_preemptible && !is_protected {
            *self.preemptible.entry((tracked.tier, engine)).or_default() += 1;
        }
    }

    fn on_cancelled(&mut self, request: RequestId, cause: CancelCause, for_tier: Option<Tier>) {
        self.end_attempt(request);
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        tracked.may_have_run = true;
        let tier = tracked.tier;
        if let Some(for_tier) = for_tier.filter(|for_tier| *for_tier >= tier) {
            self.broken.push(BrokenPromise::PreemptedForLower {
                request,
                tier,
                for_tier,
            });
        }
        if cause == CancelCause::CallerGone {
            self.end_request(request);
        }
    }

    fn on_refused(&mut self, request: RequestId, code: RefusalCode, outcome: Outcome) {
        let Some(tracked) = self.requests.get(&request).copied() else {
            return;
        };
        if outcome == Outcome::NotRun && (tracked.may_have_run || tracked.running_on.is_some()) {
            self.broken.push(BrokenPromise::FalseNotRun { request });
        }
        let is_pressure = matches!(code, RefusalCode::CannotMeetTarget | RefusalCode::QueueFull);
        let lower = self
            .preemptible
            .iter()
            .filter(|((lower, engine), count)| {
                *lower > tracked.tier && **count > 0 && !self.unusable_engines.contains(engine)
            })
            .map(|((lower, _), _)| *lower)
            .max();
        if let Some(lower) = lower.filter(|_| is_pressure) {
            self.broken.push(BrokenPromise::RefusedAboveLower {
                request,
                tier: tracked.tier,
                lower,
            });
        }
        self.end_request(request);
    }

    /// Ends the running attempt of a request, if any.
    fn end_attempt(&mut self, request: RequestId) {
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(engine) = tracked.running_on.take() else {
            return;
        };
        if tracked.is_preemptible && !tracked.is_protected {
            let count = self.preemptible.entry((tracked.tier, engine)).or_default();
            *count = count.saturating_sub(1);
        }
    }

    /// Records a final answer of a request.
    fn end_request(&mut self, request: RequestId) {
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        if tracked.is_answered {
            self.broken.push(BrokenPromise::AnsweredTwice { request });
        }
        tracked.is_answered = true;
    }
}
