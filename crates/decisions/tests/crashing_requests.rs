//! The handling of requests under which engines crash.

#[path = "support/test_pool.rs"]
mod test_pool;

use bridgevane_decisions::{
    AttemptEnd, ClassIx, CustomerIx, Effect, EndpointIx, KindIx, Offer, Scheduler,
};
use bridgevane_types::{
    AttemptNumber, Outcome, RefusalCode, RequestFingerprint, RequestId, TimeMs, Tokens,
};
use test_pool::TestPool;

const CRASHING: u64 = 1;

impl TestPool {
    fn offer(&mut self, id: u128, content: u64) -> Vec<Effect> {
        let offer = Offer {
            request: RequestId(id),
            class: ClassIx(0),
            customer: CustomerIx(0),
            kind: KindIx(0),
            prompt_tokens: Tokens(10),
            max_tokens: Tokens(10),
            blocks: Vec::new(),
            block_tokens: 16,
            fingerprint: Some(RequestFingerprint {
                customer: 1,
                content,
            }),
            is_repeatable: true,
            is_preemptible: true,
        };
        self.decide(|pool, context| pool.offer(context, offer))
    }

    fn end_attempt(&mut self, sent: Dispatched, end: AttemptEnd) -> Vec<Effect> {
        self.now = TimeMs(self.now.0 + 200);
        self.decide(|pool, context| pool.attempt_ended(context, sent.request, sent.attempt, end))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Dispatched {
    request: RequestId,
    attempt: AttemptNumber,
    engine: EndpointIx,
}

fn dispatches(effects: &[Effect]) -> Vec<Dispatched> {
    let dispatched = effects.iter().filter_map(|effect| match effect {
        Effect::Dispatch {
            request,
            attempt,
            engine,
            ..
        } => Some(Dispatched {
            request: *request,
            attempt: *attempt,
            engine: *engine,
        }),
        _ => None,
    });
    dispatched.collect()
}

const CRASHED: AttemptEnd = AttemptEnd::EngineCrashed {
    delivered: Tokens(0),
};

// Retries of such a request would crash one engine after the other.
#[test]
fn a_request_that_crashed_three_engines_is_refused_and_so_are_identical_ones() {
    let mut test_pool = TestPool::new(8, 4);
    let mut effects = test_pool.offer(1, CRASHING);
    for _ in 0..2 {
        let running = dispatches(&effects)[0];
        effects = test_pool.end_attempt(running, CRASHED);
    }
    let third = dispatches(&effects)[0];
    let refused = test_pool.end_attempt(third, CRASHED);
    assert_eq!(dispatches(&refused), []);
    let Some(Effect::Refuse {
        code,
        outcome,
        retry_after_ms,
        ..
    }) = refused.first()
    else {
        panic!("no refusal: {refused:?}");
    };
    let got = (*code, *outcome, *retry_after_ms);
    assert_eq!(got, (RefusalCode::EndsEngines, Outcome::Unknown, None));
    // An identical request with another id.
    let again = test_pool.offer(2, CRASHING);
    let is_refused = |effect: &Effect| {
        matches!(
            effect,
            Effect::Refuse {
                code: RefusalCode::EndsEngines,
                outcome: Outcome::NotRun,
                retry_after_ms: None,
                ..
            }
        )
    };
    assert!(again.iter().any(is_refused), "{again:?}");
    assert_eq!(
        dispatches(&test_pool.offer(3, 77)).len(),
        1,
        "a different request runs"
    );
}

// A crash ends all requests of an engine, most of which aren't its cause.
#[test]
fn requests_that_ran_beside_the_cause_of_a_crash_are_retried_on_another_engine() {
    let mut test_pool = TestPool::new(2, 64);
    let mut running = Vec::new();
    for id in 0..20u64 {
        running.extend(dispatches(&test_pool.offer(u128::from(id), 100 + id)));
    }
    let crashed = running[0].engine;
    let lost: Vec<Dispatched> = running
        .into_iter()
        .filter(|dispatched| dispatched.engine == crashed)
        .collect();
    assert!(lost.len() > 3);
    for attempt in lost {
        let effects = test_pool.end_attempt(attempt, CRASHED);
        let retried = dispatches(&effects);
        assert_eq!(retried.len(), 1, "{effects:?}");
        assert_ne!(retried[0].engine, crashed);
    }
}
