//! What `serve` promises, as predicates over the log of decisions: for tests, benchmarks and the
//! demo's verdict.
//!
//! It stands apart from the deciding code, and the product doesn't contain it.

use bridgevane_decisions::{CancelCause, Decision, DecisionRecord, EndpointIx};
use bridgevane_types::{Outcome, RefusalCode, RequestId, Tier};
use derive_more::Display;
use std::collections::{HashMap, HashSet};

/// A promise that the log shows broken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BrokenPromise {
    /// Refused under pressure while lower-tier work could have made room.
    #[display("{request} of tier {tier} was refused while tier {lower} held a slot")]
    RefusedAboveLower {
        /// The refused request.
        request: RequestId,
        /// Its tier.
        tier: Tier,
        /// The tier that kept its slot.
        lower: Tier,
    },
    /// Preempted for a tier that isn't higher.
    #[display("{request} of tier {tier} was preempted for tier {for_tier}")]
    PreemptedForLower {
        /// The preempted request.
        request: RequestId,
        /// Its tier.
        tier: Tier,
        /// The tier that got its slot.
        for_tier: Tier,
    },
    /// Said to be not run although an attempt may have run.
    #[display("{request} was said to be not run, but may have run")]
    FalseNotRun {
        /// The request.
        request: RequestId,
    },
    /// A call that may not be repeated was sent again after it may have run.
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

#[derive(Clone, Copy, Debug)]
struct Followed {
    tier: Tier,
    is_repeatable: bool,
    is_preemptible: bool,
    running_on: Option<EndpointIx>,
    is_protected: bool,
    /// An attempt was sent that isn't proved not to have run.
    may_have_run: bool,
    is_over: bool,
}

/// Checks a log that holds every decision of a pool from its start.
pub fn check_promises<'a>(
    records: impl IntoIterator<Item = &'a DecisionRecord>,
) -> Vec<BrokenPromise> {
    let mut follower = Follower::default();
    for record in records {
        follower.follow(&record.decision);
    }
    follower.broken
}

#[derive(Default)]
struct Follower {
    requests: HashMap<RequestId, Followed>,
    /// Preemptible, unprotected running requests by tier and engine.
    room: HashMap<(Tier, EndpointIx), usize>,
    /// Engines whose slots are of no use to other work.
    out_of_use: HashSet<EndpointIx>,
    broken: Vec<BrokenPromise>,
}

impl Follower {
    fn follow(&mut self, decision: &Decision) {
        match *decision {
            Decision::Offered {
                request,
                tier,
                is_repeatable,
                is_preemptible,
                ..
            } => {
                let followed = Followed {
                    tier,
                    is_repeatable,
                    is_preemptible,
                    running_on: None,
                    is_protected: false,
                    may_have_run: false,
                    is_over: false,
                };
                self.requests.insert(request, followed);
            }
            Decision::Queued { .. } => {}
            Decision::Dispatched {
                request,
                engine,
                is_protected,
                ..
            } => self.dispatched(request, engine, is_protected),
            Decision::EngineUse { engine, is_in_use } => {
                if is_in_use {
                    self.out_of_use.remove(&engine);
                } else {
                    self.out_of_use.insert(engine);
                }
            }
            Decision::Cancelled {
                request,
                cause,
                for_tier,
                ..
            } => self.cancelled(request, cause, for_tier),
            Decision::Lost {
                request,
                may_have_run,
                ..
            } => {
                self.stop(request);
                if let Some(followed) = self.requests.get_mut(&request) {
                    followed.may_have_run |= may_have_run;
                }
            }
            Decision::Done { request, .. } => {
                self.stop(request);
                self.end(request);
            }
            Decision::Refused {
                request,
                code,
                outcome,
            } => self.refused(request, code, outcome),
        }
    }

    fn dispatched(&mut self, request: RequestId, engine: EndpointIx, is_protected: bool) {
        let Some(followed) = self.requests.get_mut(&request) else {
            return;
        };
        if followed.running_on.is_some() {
            self.broken.push(BrokenPromise::RanTwiceAtOnce { request });
        }
        if followed.may_have_run && !followed.is_repeatable {
            self.broken.push(BrokenPromise::Repeated { request });
        }
        followed.running_on = Some(engine);
        followed.is_protected = is_protected;
        if followed.is_preemptible && !is_protected {
            *self.room.entry((followed.tier, engine)).or_default() += 1;
        }
    }

    fn cancelled(&mut self, request: RequestId, cause: CancelCause, for_tier: Option<Tier>) {
        self.stop(request);
        let Some(followed) = self.requests.get_mut(&request) else {
            return;
        };
        followed.may_have_run = true;
        let tier = followed.tier;
        if let Some(for_tier) = for_tier.filter(|for_tier| *for_tier >= tier) {
            self.broken.push(BrokenPromise::PreemptedForLower {
                request,
                tier,
                for_tier,
            });
        }
        if cause == CancelCause::CallerGone {
            self.end(request);
        }
    }

    fn refused(&mut self, request: RequestId, code: RefusalCode, outcome: Outcome) {
        let Some(followed) = self.requests.get(&request).copied() else {
            return;
        };
        if outcome == Outcome::NotRun && (followed.may_have_run || followed.running_on.is_some()) {
            self.broken.push(BrokenPromise::FalseNotRun { request });
        }
        let is_pressure = matches!(code, RefusalCode::CannotMeetTarget | RefusalCode::QueueFull);
        let lower = self
            .room
            .iter()
            .filter(|((lower, engine), count)| {
                *lower > followed.tier && **count > 0 && !self.out_of_use.contains(engine)
            })
            .map(|((lower, _), _)| *lower)
            .max();
        if let Some(lower) = lower.filter(|_| is_pressure) {
            self.broken.push(BrokenPromise::RefusedAboveLower {
                request,
                tier: followed.tier,
                lower,
            });
        }
        self.end(request);
    }

    fn stop(&mut self, request: RequestId) {
        let Some(followed) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(engine) = followed.running_on.take() else {
            return;
        };
        if followed.is_preemptible && !followed.is_protected {
            let count = self.room.entry((followed.tier, engine)).or_default();
            *count = count.saturating_sub(1);
        }
    }

    fn end(&mut self, request: RequestId) {
        let Some(followed) = self.requests.get_mut(&request) else {
            return;
        };
        if followed.is_over {
            self.broken.push(BrokenPromise::AnsweredTwice { request });
        }
        followed.is_over = true;
    }
}
