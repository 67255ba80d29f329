//! Attempts that end after their request was dispatched again, and attempts that never begin.

#[path = "support/test_pool.rs"]
mod test_pool;

use bridgevane_decisions::{
    AttemptEnd, CancelCause, ClassIx, CustomerIx, Effect, EndpointIx, KindIx, Offer, Scheduler,
};
use bridgevane_types::{AttemptNumber, DurationMs, RequestId, TimeMs, Tokens};
use test_pool::TestPool;

impl TestPool {
    /// Offers a request and returns the engine and attempt that it is dispatched to.
    fn offer(&mut self, id: u128, is_preemptible: bool) -> Option<(EndpointIx, AttemptNumber)> {
        let offer = Offer {
            request: RequestId(id),
            class: ClassIx(0),
            customer: CustomerIx(0),
            kind: KindIx(0),
            prompt_tokens: Tokens(10),
            max_tokens: Tokens(10),
            blocks: Vec::new(),
            block_tokens: 16,
            fingerprint: None,
            is_repeatable: true,
            is_preemptible,
        };
        let effects = self.decide(|pool, context| pool.offer(context, offer));
        dispatched(&effects)
    }

    fn end_attempt(&mut self, id: u128, attempt: AttemptNumber, end: AttemptEnd) -> Vec<Effect> {
        self.decide(|pool, context| pool.attempt_ended(context, RequestId(id), attempt, end))
    }
}

fn dispatched(effects: &[Effect]) -> Option<(EndpointIx, AttemptNumber)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch {
            engine, attempt, ..
        } => Some((*engine, *attempt)),
        _ => None,
    })
}

/// Guards against an engine that goes on with a request whose answer is complete: the answer of an
/// earlier attempt arrives after the request was dispatched again.
#[test]
fn the_newer_attempt_is_cancelled_when_an_earlier_one_completes() {
    let mut pool = TestPool::new(2, 1);
    let (_, first) = pool.offer(1, true).expect("a free slot");
    let effects = pool.end_attempt(1, first, AttemptEnd::Unavailable);
    let (engine, second) = dispatched(&effects).expect("it is sent again");
    let effects = pool.end_attempt(1, first, AttemptEnd::Done(Tokens(5)));
    let cancel = Effect::Cancel {
        request: RequestId(1),
        attempt: second,
        engine,
        cause: CancelCause::CallerGone,
    };
    assert!(effects.contains(&cancel), "{effects:?}");
}

/// Guards against a silent engine that gets requests for ever, because none of those that wait there
/// may be preempted.
#[test]
fn an_engine_is_slow_also_if_the_requests_that_wait_there_may_not_be_preempted() {
    let mut pool = TestPool::new(3, 4);
    let (silent, _) = pool.offer(1, false).expect("a free slot");
    let mut answering = Vec::new();
    for id in 2..7 {
        let (engine, attempt) = pool.offer(id, false).expect("a free slot");
        if engine != silent {
            answering.push((RequestId(id), attempt));
        }
    }
    for (request, attempt) in &answering {
        pool.decide(|pool, context| pool.first_token(context, *request, *attempt));
    }
    for step in 1..600 {
        pool.now = TimeMs(pool.now.0 + 100);
        for (request, attempt) in &answering {
            let gap = DurationMs(20);
            pool.decide(|pool, context| {
                pool.progress(context, *request, *attempt, Tokens(step * 5), gap);
            });
        }
        pool.decide(|pool, context| pool.tick(context));
    }
    for id in 7..11 {
        let (engine, _) = pool.offer(id, false).expect("a free slot");
        assert_ne!(engine, silent, "request {id}");
    }
}
