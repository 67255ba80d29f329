//! Random sequences of events: whatever happens, the pool stays consistent and its promises
//! hold.

use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, ClassIx, ClassPolicy, CustomerIx, CustomerPolicy, Effect, EndpointIx, EnginePolicy,
    KindIx, Offer, Policy, Pool, PoolContext, PoolPolicy, Recorder,
};
use bridgevane_standins::check_promises;
use bridgevane_types::{
    AttemptNumber, DurationMs, Outcome, RefusalCode, RequestFingerprint, RequestId, Share, Slots,
    Tier, TimeMs, Tokens,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const ENGINES: u32 = 3;
const SLOTS: u32 = 2;
const CLASSES: u16 = 3;

fn policy() -> PoolPolicy {
    let class = |tier: u16| ClassPolicy {
        name: format!("class-{tier}").as_str().into(),
        tier: Tier(tier as u8),
        first_token_target_ms: DurationMs(400 * u64::from(tier + 1)),
        between_tokens_target_ms: Some(DurationMs(46)),
        min_share: Share(if tier == 1 { 0.1 } else { 0.0 }),
        max_wait_ms: None,
    };
    let engine = |at: u32| EnginePolicy {
        name: format!("engine-{at}").as_str().into(),
        slots: Slots(SLOTS),
        is_drained: false,
    };
    let customer = |at: u32| CustomerPolicy {
        name: format!("customer-{at}").as_str().into(),
        rate_limit_tps: None,
        concurrency_limit: (at == 1).then_some(Slots(3)),
    };
    PoolPolicy::from_parts(
        (0..CLASSES).map(class).collect(),
        (0..2).map(customer).collect(),
        vec![("kind".into(), Tokens(20))],
        (0..ENGINES).map(engine).collect(),
    )
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        class: u16,
        customer: u32,
        is_repeatable: bool,
        prompt: u64,
    },
    FirstToken {
        pick: usize,
    },
    Progress {
        pick: usize,
        tokens: u64,
    },
    Done {
        pick: usize,
    },
    Lost {
        pick: usize,
    },
    /// The same, and the engine has ended.
    EngineEnded {
        pick: usize,
    },
    NotReached {
        pick: usize,
    },
    Unavailable {
        pick: usize,
    },
    Rejected {
        pick: usize,
    },
    CallerGone {
        pick: usize,
    },
    /// An end of an attempt that is long over.
    Stale {
        pick: usize,
    },
    Report {
        engine: u32,
        busy: u32,
        age_ms: u64,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let pick = || 0..64usize;
    prop_oneof![
        6 => (0..CLASSES, 0..2u32, any::<bool>(), 1..4_000u64).prop_map(
            |(class, customer, is_repeatable, prompt)| Step::Offer { class, customer, is_repeatable, prompt }),
        3 => pick().prop_map(|pick| Step::FirstToken { pick }),
        3 => (pick(), 1..40u64).prop_map(|(pick, tokens)| Step::Progress { pick, tokens }),
        4 => pick().prop_map(|pick| Step::Done { pick }),
        2 => pick().prop_map(|pick| Step::Lost { pick }),
        2 => pick().prop_map(|pick| Step::EngineEnded { pick }),
        1 => pick().prop_map(|pick| Step::NotReached { pick }),
        1 => pick().prop_map(|pick| Step::Unavailable { pick }),
        1 => pick().prop_map(|pick| Step::Rejected { pick }),
        1 => pick().prop_map(|pick| Step::CallerGone { pick }),
        2 => pick().prop_map(|pick| Step::Stale { pick }),
        2 => (0..ENGINES, 0..6u32, 0..3_000u64).prop_map(
            |(engine, busy, age_ms)| Step::Report { engine, busy, age_ms }),
        5 => (1..700u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// What the world outside the pool knows.
struct World {
    pool: Pool,
    settings: Settings,
    log: Recorder,
    now: TimeMs,
    next: u128,
    running: BTreeMap<RequestId, (AttemptNumber, EndpointIx, u64)>,
    over: Vec<(RequestId, AttemptNumber)>,
    open: BTreeSet<RequestId>,
}

impl World {
    fn new() -> Self {
        let settings = Settings::default();
        Self {
            pool: Pool::new(policy(), &settings, 7),
            settings,
            log: Recorder::new(usize::MAX),
            now: TimeMs(0),
            next: 0,
            running: BTreeMap::new(),
            over: Vec::new(),
            open: BTreeSet::new(),
        }
    }

    fn decide(&mut self, decide: impl FnOnce(&mut Pool, &mut PoolContext<'_, Recorder>)) {
        let mut effects = Vec::new();
        let mut context = PoolContext {
            now: self.now,
            settings: &self.settings,
            effects: &mut effects,
            log: &mut self.log,
        };
        decide(&mut self.pool, &mut context);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(effect));
        self.check_slots();
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                request,
                attempt,
                engine,
                ..
            } => {
                assert!(self.open.contains(&request), "{request} is over");
                let before = self.running.insert(request, (attempt, engine, 0));
                assert_eq!(before, None, "{request} runs already");
            }
            Effect::Cancel {
                request, attempt, ..
            } => {
                let running = self.running.remove(&request);
                assert_eq!(running.map(|running| running.0), Some(attempt));
                self.over.push((request, attempt));
            }
            Effect::Refuse {
                request,
                outcome,
                code,
                retry_after_ms,
            } => {
                assert!(self.open.remove(&request), "{request} was answered before");
                assert!(!self.running.contains_key(&request));
                let is_final = [RefusalCode::Rejected, RefusalCode::EndsEngines].contains(&code);
                let may_come_back = outcome != Outcome::Unknown && !is_final;
                assert_eq!(retry_after_ms.is_some(), may_come_back);
            }
        }
    }

    fn check_slots(&self) {
        for engine in 0..ENGINES {
            let on_it = self
                .running
                .values()
                .filter(|running| running.1 == EndpointIx(engine));
            assert!(
                on_it.count() <= SLOTS as usize,
                "engine {engine} has too much"
            );
        }
        let in_flight: u32 = self.pool.engine_views().iter().map(|e| e.in_flight.0).sum();
        assert_eq!(in_flight as usize, self.running.len());
        assert_eq!(self.pool.in_flight(), self.open.len());
    }

    fn picked(&self, pick: usize) -> Option<(RequestId, AttemptNumber)> {
        let count = self.running.len();
        let (request, running) = self.running.iter().nth(pick % count.max(1))?;
        Some((*request, running.0))
    }

    fn end(&mut self, pick: usize, end: AttemptEnd) {
        let Some((request, attempt)) = self.picked(pick) else {
            return;
        };
        self.running.remove(&request);
        self.over.push((request, attempt));
        if matches!(end, AttemptEnd::Done(_) | AttemptEnd::CallerGone) {
            self.open.remove(&request);
        }
        if end == AttemptEnd::CallerGone {
            // The pool cancels it at the engine.
            self.running
                .insert(request, (attempt, EndpointIx(ENGINES), 0));
        }
        self.decide(|pool, context| pool.finished(context, request, attempt, end));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer {
                class,
                customer,
                is_repeatable,
                prompt,
            } => self.offer(class, customer, is_repeatable, prompt),
            Step::FirstToken { pick } => {
                if let Some((request, attempt)) = self.picked(pick) {
                    self.decide(|pool, context| pool.first_token(context, request, attempt));
                }
            }
            Step::Progress { pick, tokens } => self.progress(pick, tokens),
            Step::Done { pick } => self.end(pick, AttemptEnd::Done(Tokens(9))),
            Step::Lost { pick } => {
                let delivered = Tokens(0);
                self.end(pick, AttemptEnd::Lost { delivered });
            }
            Step::EngineEnded { pick } => {
                let delivered = Tokens(0);
                self.end(pick, AttemptEnd::EngineEnded { delivered });
            }
            Step::NotReached { pick } => self.end(pick, AttemptEnd::NotReached),
            Step::Unavailable { pick } => self.end(pick, AttemptEnd::Unavailable),
            Step::Rejected { pick } => self.end(pick, AttemptEnd::Rejected),
            Step::CallerGone { pick } => self.end(pick, AttemptEnd::CallerGone),
            Step::Stale { pick } => self.stale(pick),
            Step::Report {
                engine,
                busy,
                age_ms,
            } => self.decide(|pool, context| {
                pool.load_report(context, EndpointIx(engine), busy, DurationMs(age_ms));
            }),
            Step::Wait { ms } => {
                self.now = self.now + DurationMs(ms);
                self.decide(|pool, context| pool.tick(context));
            }
        }
    }

    fn offer(&mut self, class: u16, customer: u32, is_repeatable: bool, prompt: u64) {
        self.next += 1;
        let request = RequestId(self.next);
        self.open.insert(request);
        let offer = Offer {
            request,
            class: ClassIx(class),
            customer: CustomerIx(customer),
            kind: KindIx(0),
            prompt_tokens: Tokens(prompt),
            max_tokens: Tokens(100),
            blocks: vec![prompt % 5, prompt],
            block_tokens: 64,
            // Some requests are equal.
            fingerprint: (!prompt.is_multiple_of(3)).then_some(RequestFingerprint {
                customer,
                content: prompt % 7,
            }),
            is_repeatable,
            is_preemptible: is_repeatable,
        };
        self.decide(|pool, context| pool.offer(context, offer));
    }

    fn progress(&mut self, pick: usize, tokens: u64) {
        let Some((request, attempt)) = self.picked(pick) else {
            return;
        };
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.2 += tokens;
        let delivered = Tokens(running.2);
        self.decide(|pool, context| {
            pool.progress(context, request, attempt, delivered, DurationMs(30))
        });
    }

    /// Reports of attempts that are over change nothing but a whole answer's request.
    fn stale(&mut self, pick: usize) {
        let count = self.over.len().max(1);
        let Some((request, attempt)) = self.over.get(pick % count).copied() else {
            return;
        };
        let before = self.running.clone();
        self.decide(|pool, context| {
            pool.first_token(context, request, attempt);
            pool.progress(context, request, attempt, Tokens(50), DurationMs(30));
            pool.finished(context, request, attempt, AttemptEnd::NotReached);
        });
        assert_eq!(self.running, before);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_sequence_keeps_the_pool_consistent(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
        // What still runs ends, what still waits runs or is given up.
        for _ in 0..400 {
            world.apply(Step::Wait { ms: 500 });
            world.apply(Step::Done { pick: 0 });
        }
        prop_assert_eq!(world.open.len(), 0);
        prop_assert_eq!(check_promises(world.log.records()), vec![]);
    }
}
