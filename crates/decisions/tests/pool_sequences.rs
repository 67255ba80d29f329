//! Random sequences of events: the pool stays consistent and keeps its guarantees.

use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, ClassIx, ClassPolicy, CustomerIx, CustomerPolicy, Effect, EndpointIx, EnginePolicy,
    KindIx, Offer, Pool, PoolContext, PoolPolicy, Recorder, Scheduler,
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
    /// The attempt is lost because the engine crashed.
    EngineCrashed {
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
    /// Reports of an attempt that ended earlier.
    StaleReports {
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
        2 => pick().prop_map(|pick| Step::EngineCrashed { pick }),
        1 => pick().prop_map(|pick| Step::NotReached { pick }),
        1 => pick().prop_map(|pick| Step::Unavailable { pick }),
        1 => pick().prop_map(|pick| Step::Rejected { pick }),
        1 => pick().prop_map(|pick| Step::CallerGone { pick }),
        2 => pick().prop_map(|pick| Step::StaleReports { pick }),
        2 => (0..ENGINES, 0..6u32, 0..3_000u64).prop_map(
            |(engine, busy, age_ms)| Step::Report { engine, busy, age_ms }),
        5 => (1..700u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// The environment of a pool: engines and callers, as they observe its effects.
struct PoolEnvironment {
    pool: Pool,
    settings: Settings,
    log: Recorder,
    now: TimeMs,
    next_id: u128,
    running: BTreeMap<RequestId, (AttemptNumber, EndpointIx, u64)>,
    ended: Vec<(RequestId, AttemptNumber)>,
    unanswered: BTreeSet<RequestId>,
}

impl PoolEnvironment {
    fn new() -> Self {
        let settings = Settings::default();
        Self {
            pool: Pool::new(policy(), &settings, 7),
            settings,
            log: Recorder::new(usize::MAX),
            now: TimeMs(0),
            next_id: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            unanswered: BTreeSet::new(),
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
            .for_each(|effect| self.apply_effect(effect));
        self.check_consistency();
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                request,
                attempt,
                engine,
                ..
            } => {
                assert!(
                    self.unanswered.contains(&request),
                    "{request} was dispatched after its answer"
                );
                let before = self.running.insert(request, (attempt, engine, 0));
                assert_eq!(before, None, "{request} was dispatched while it runs");
            }
            Effect::Cancel {
                request, attempt, ..
            } => {
                let running = self.running.remove(&request);
                assert_eq!(running.map(|running| running.0), Some(attempt));
                self.ended.push((request, attempt));
            }
            Effect::Refuse {
                request,
                outcome,
                code,
                retry_after_ms,
            } => {
                assert!(
                    self.unanswered.remove(&request),
                    "{request} got a second answer"
                );
                assert!(!self.running.contains_key(&request));
                let is_final = [RefusalCode::Rejected, RefusalCode::EndsEngines].contains(&code);
                let may_retry = outcome != Outcome::Unknown && !is_final;
                assert_eq!(retry_after_ms.is_some(), may_retry);
            }
        }
    }

    fn check_consistency(&self) {
        for engine in 0..ENGINES {
            let attempts = self
                .running
                .values()
                .filter(|running| running.1 == EndpointIx(engine));
            assert!(
                attempts.count() <= SLOTS as usize,
                "engine {engine} runs more requests than it has slots"
            );
        }
        let in_flight: u32 = self.pool.engine_views().iter().map(|e| e.in_flight.0).sum();
        assert_eq!(in_flight as usize, self.running.len());
        assert_eq!(self.pool.in_flight(), self.unanswered.len());
    }

    fn pick_running(&self, pick: usize) -> Option<(RequestId, AttemptNumber)> {
        let count = self.running.len();
        let (request, running) = self.running.iter().nth(pick % count.max(1))?;
        Some((*request, running.0))
    }

    fn end_attempt(&mut self, pick: usize, end: AttemptEnd) {
        let Some((request, attempt)) = self.pick_running(pick) else {
            return;
        };
        self.running.remove(&request);
        self.ended.push((request, attempt));
        if matches!(end, AttemptEnd::Done(_) | AttemptEnd::CallerGone) {
            self.unanswered.remove(&request);
        }
        if end == AttemptEnd::CallerGone {
            // The pool cancels the attempt at its engine.
            self.running
                .insert(request, (attempt, EndpointIx(ENGINES), 0));
        }
        self.decide(|pool, context| pool.attempt_ended(context, request, attempt, end));
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
                if let Some((request, attempt)) = self.pick_running(pick) {
                    self.decide(|pool, context| pool.first_token(context, request, attempt));
                }
            }
            Step::Progress { pick, tokens } => self.progress(pick, tokens),
            Step::Done { pick } => self.end_attempt(pick, AttemptEnd::Done(Tokens(9))),
            Step::Lost { pick } => {
                let delivered = Tokens(0);
                self.end_attempt(pick, AttemptEnd::Lost { delivered });
            }
            Step::EngineCrashed { pick } => {
                let delivered = Tokens(0);
                self.end_attempt(pick, AttemptEnd::EngineCrashed { delivered });
            }
            Step::NotReached { pick } => self.end_attempt(pick, AttemptEnd::NotReached),
            Step::Unavailable { pick } => self.end_attempt(pick, AttemptEnd::Unavailable),
            Step::Rejected { pick } => self.end_attempt(pick, AttemptEnd::Rejected),
            Step::CallerGone { pick } => self.end_attempt(pick, AttemptEnd::CallerGone),
            Step::StaleReports { pick } => self.stale_reports(pick),
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
        self.next_id += 1;
        let request = RequestId(self.next_id);
        self.unanswered.insert(request);
        let offer = Offer {
            request,
            class: ClassIx(class),
            customer: CustomerIx(customer),
            kind: KindIx(0),
            prompt_tokens: Tokens(prompt),
            max_tokens: Tokens(100),
            blocks: vec![prompt % 5, prompt],
            block_tokens: 64,
            // Some requests are identical.
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
        let Some((request, attempt)) = self.pick_running(pick) else {
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

    /// Sends reports of an ended attempt, which must not change what runs.
    fn stale_reports(&mut self, pick: usize) {
        let count = self.ended.len().max(1);
        let Some((request, attempt)) = self.ended.get(pick % count).copied() else {
            return;
        };
        let before = self.running.clone();
        self.decide(|pool, context| {
            pool.first_token(context, request, attempt);
            pool.progress(context, request, attempt, Tokens(50), DurationMs(30));
            pool.attempt_ended(context, request, attempt, AttemptEnd::NotReached);
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

    // Rare orders of events, such as a report that crosses a cancellation, can leak slots, lose
    // requests or answer them twice.
    #[test]
    fn no_sequence_of_events_leaks_slots_or_breaks_a_guarantee(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut environment = PoolEnvironment::new();
        for step in steps {
            environment.apply(step);
        }
        // Running requests end; waiting requests run or are refused.
        for _ in 0..400 {
            environment.apply(Step::Wait { ms: 500 });
            environment.apply(Step::Done { pick: 0 });
        }
        prop_assert_eq!(environment.unanswered.len(), 0);
        prop_assert_eq!(check_promises(environment.log.records()), vec![]);
    }
}
