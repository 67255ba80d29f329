//! What a pool does with requests under which engines end.

#[path = "../benches/support/sized_policy.rs"]
mod sized_policy;

use bridgevane_decisions::configs::Settings;
use bridgevane_decisions::{
    AttemptEnd, ClassIx, CustomerIx, Effect, EndpointIx, KindIx, NoLog, Offer, Policy, Pool,
    PoolContext,
};
use bridgevane_types::{
    AttemptNumber, Outcome, RefusalCode, RequestFingerprint, RequestId, TimeMs, Tokens,
};
use sized_policy::policy;

const DEADLY: u64 = 1;

struct Stage {
    pool: Pool,
    settings: Settings,
    now: TimeMs,
}

impl Stage {
    fn new(engines: u32, slots: u32) -> Self {
        let settings = Settings::default();
        Self {
            pool: Pool::new(policy(engines, slots), &settings, 1),
            settings,
            now: TimeMs(1_000_000),
        }
    }

    fn decide(
        &mut self,
        decide: impl FnOnce(&mut Pool, &mut PoolContext<'_, NoLog>),
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut context = PoolContext {
            now: self.now,
            settings: &self.settings,
            effects: &mut effects,
            log: &mut NoLog,
        };
        decide(&mut self.pool, &mut context);
        effects
    }

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

    fn end(&mut self, sent: Sent, end: AttemptEnd) -> Vec<Effect> {
        self.now = TimeMs(self.now.0 + 200);
        self.decide(|pool, context| pool.finished(context, sent.request, sent.attempt, end))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Sent {
    request: RequestId,
    attempt: AttemptNumber,
    engine: EndpointIx,
}

fn sent(effects: &[Effect]) -> Vec<Sent> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Dispatch {
            request,
            attempt,
            engine,
            ..
        } => Some(Sent {
            request: *request,
            attempt: *attempt,
            engine: *engine,
        }),
        _ => None,
    });
    sent.collect()
}

const ENDED: AttemptEnd = AttemptEnd::EngineEnded {
    delivered: Tokens(0),
};

#[test]
fn a_request_under_which_three_engines_have_ended_is_given_up_and_so_are_equal_ones() {
    let mut stage = Stage::new(8, 4);
    let mut effects = stage.offer(1, DEADLY);
    for _ in 0..2 {
        let running = sent(&effects)[0];
        effects = stage.end(running, ENDED);
    }
    let third = sent(&effects)[0];
    let refused = stage.end(third, ENDED);
    assert_eq!(sent(&refused), []);
    let Some(Effect::Refuse {
        code,
        outcome,
        retry_after_ms,
        ..
    }) = refused.first()
    else {
        panic!("it is given up: {refused:?}");
    };
    let got = (*code, *outcome, *retry_after_ms);
    assert_eq!(got, (RefusalCode::EndsEngines, Outcome::Unknown, None));
    // The same again, as another request.
    let again = stage.offer(2, DEADLY);
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
    assert_eq!(sent(&stage.offer(3, 77)).len(), 1, "another one runs");
}

#[test]
fn requests_that_were_only_there_go_on_elsewhere() {
    let mut stage = Stage::new(2, 64);
    let mut running = Vec::new();
    for id in 0..20u64 {
        running.extend(sent(&stage.offer(u128::from(id), 100 + id)));
    }
    let ended = running[0].engine;
    let lost: Vec<Sent> = running
        .into_iter()
        .filter(|sent| sent.engine == ended)
        .collect();
    assert!(lost.len() > 3);
    for sent_before in lost {
        let effects = stage.end(sent_before, ENDED);
        let moved = sent(&effects);
        assert_eq!(moved.len(), 1, "{effects:?}");
        assert_ne!(moved[0].engine, ended);
    }
}
