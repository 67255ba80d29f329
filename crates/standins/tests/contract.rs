//! The contracts of platform, engines and plain services, with their fault cases, over the
//! adapters that the product uses.

use bridgevane_adapters::{
    CacheChange, EngineCallError, FencedOrder, GenerateCall, HttpEngine, HttpPlainService,
    HttpPlatform, KeyValue, KvCas, KvError, KvRevision, ModelEngine, Order, OrderReply, PieceEvent,
    PlainCall, PlainCallError, PlainService, VmList, WeightStore,
};
use bridgevane_standins::{
    EngineSpec, EngineStandin, EngineStandinSettings, Fault, PlainStandin, PlatformSettings,
    PlatformStandin, Served, answer_length, serve, token_text,
};
use bridgevane_types::{AttemptNumber, DurationMs, FenceToken, RequestId, Tier, Tokens};
use futures_util::StreamExt;
use std::net::SocketAddr;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn platform(settings: PlatformSettings) -> (PlatformStandin, HttpPlatform, Served) {
    let standin = PlatformStandin::new(settings);
    let served = serve(loopback(), standin.router()).await.expect("a port");
    let adapter = HttpPlatform::new(served.address);
    (standin, adapter, served)
}

fn cas(key: &str, expected: Option<KvRevision>, text: &str) -> KvCas {
    KvCas {
        key: key.into(),
        expected,
        text: Some(text.into()),
        lease: None,
    }
}

#[tokio::test]
async fn a_compare_and_swap_takes_effect_once_and_conflicts_are_told() {
    let (_, kv, _served) = platform(PlatformSettings::default()).await;
    assert_eq!(kv.get("k").await, Ok(None));
    let first = kv
        .compare_and_swap(cas("k", None, "a"))
        .await
        .expect("absent");
    assert_eq!(
        kv.compare_and_swap(cas("k", None, "b")).await,
        Err(KvError::Conflict)
    );
    let second = kv
        .compare_and_swap(cas("k", Some(first), "b"))
        .await
        .expect("current");
    assert!(second > first);
    assert_eq!(kv.get("k").await.expect("read").expect("there").text, "b");
}

#[tokio::test]
async fn a_watch_gives_what_is_newer_or_nothing() {
    let (standin, kv, _served) = platform(PlatformSettings::default()).await;
    let first = standin.put("k", "a");
    assert_eq!(kv.watch("k", first, DurationMs(30)).await, Ok(None));
    let watched = kv.clone();
    let watching = tokio::spawn(async move { watched.watch("k", first, DurationMs(5_000)).await });
    let second = standin.put("k", "b");
    let value = watching
        .await
        .expect("the watch ends")
        .expect("answered")
        .expect("newer");
    assert_eq!((value.revision, value.text.as_str()), (second, "b"));
    // A value that was there before the watch began is no gap.
    let missed = kv
        .watch("k", first, DurationMs(30))
        .await
        .expect("answered");
    assert_eq!(missed.map(|value| value.revision), Some(second));
}

/// Each fault, what the adapter says of a write, and whether the write took effect.
#[tokio::test]
async fn faults_of_the_key_value_service_are_told_as_they_are() {
    let down = Fault {
        is_down: true,
        ..Fault::default()
    };
    let lost = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    let rate = Fault {
        refuse_by_rate: 1,
        ..Fault::default()
    };
    let slow = Fault {
        delay_ms: DurationMs(50),
        ..Fault::default()
    };
    let refused = KvError::RateLimited {
        retry_after_ms: DurationMs(1_000),
    };
    let table: [(&str, Fault, Option<KvError>, bool); 4] = [
        ("down", down, Some(KvError::NotReached), false),
        (
            "answer lost after it took effect",
            lost,
            Some(KvError::Unknown),
            true,
        ),
        ("refused by rate", rate, Some(refused), false),
        ("slow", slow, None, true),
    ];
    for (name, fault, expected, takes_effect) in table {
        let (standin, kv, _served) = platform(PlatformSettings::default()).await;
        standin.set_fault(fault);
        let result = kv.compare_and_swap(cas("k", None, "a")).await;
        assert_eq!(result.clone().err(), expected, "{name}");
        assert_eq!(standin.read("k").is_some(), takes_effect, "{name}");
        if let Some(error) = expected {
            // What may have taken effect is never told as if it had not.
            assert_eq!(error.may_have_taken_effect(), takes_effect, "{name}");
        }
    }
    let nobody = HttpPlatform::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert_eq!(
        nobody.compare_and_swap(cas("k", None, "a")).await,
        Err(KvError::NotReached)
    );
}

#[tokio::test]
async fn leases_are_renewed_and_rates_are_kept() {
    let (_, kv, _served) = platform(PlatformSettings::default()).await;
    let lease = kv.grant_lease(DurationMs(60_000)).await.expect("granted");
    assert_eq!(kv.renew_lease(lease.id).await, Ok(lease));
    assert!(kv.list().await.expect("a read").is_empty());
    assert!(kv.ticket(&"m".into(), 1).await.is_ok());
    // No call fits into a rate of nothing: the verdict doesn't hang on the clock.
    let nothing = PlatformSettings {
        writes_per_s: 0,
        reads_per_s: 0,
        tickets_per_s: 0,
    };
    let (standin, kv, _served) = platform(nothing).await;
    let refused = |error: Option<KvError>| matches!(error, Some(KvError::RateLimited { .. }));
    assert!(refused(kv.grant_lease(DurationMs(1)).await.err()));
    assert!(refused(kv.get("k").await.err()));
    assert!(refused(kv.ticket(&"m".into(), 1).await.err()));
    assert_eq!(standin.most_used().most_writes_per_s, 1);
}

#[tokio::test]
async fn a_lease_that_ends_takes_its_keys_along() {
    let (standin, kv, _served) = platform(PlatformSettings::default()).await;
    let lease = kv.grant_lease(DurationMs(1)).await.expect("granted");
    let held = KvCas {
        lease: Some(lease.id),
        ..cas("k", None, "holder")
    };
    // The lease may have ended before or after this; it has ended at the read below.
    let _ = kv.compare_and_swap(held).await;
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    assert_eq!(kv.renew_lease(lease.id).await, Err(KvError::LeaseGone));
    assert_eq!(standin.read("k"), None);
}

async fn engine(checks_fence: bool) -> (EngineStandin, HttpEngine, Served) {
    let spec = EngineSpec {
        step_base_us: 500.0,
        step_per_sequence_us: 0.0,
        ..EngineSpec::default()
    };
    let standin = EngineStandin::new(EngineStandinSettings {
        spec,
        checks_fence,
        ends_on: None,
    });
    let served = serve(loopback(), standin.router()).await.expect("a port");
    let adapter = HttpEngine::new(served.address);
    (standin, adapter, served)
}

fn call(resume_from: u64) -> GenerateCall {
    GenerateCall {
        request: RequestId(5),
        attempt: AttemptNumber(1),
        priority: Tier(0),
        model: "m".into(),
        prompt: "a prompt of some length that fills more than one block of the cache [tokens=12]"
            .into(),
        max_tokens: Tokens(100),
        resume_from: Tokens(resume_from),
        delivered_text: String::new(),
    }
}

/// Pieces until the end: own tokens by offset, strangers, and how it ended.
async fn follow(
    engine: &HttpEngine,
    resume_from: u64,
) -> (Vec<(u64, String)>, usize, Option<EngineCallError>) {
    let mut pieces = engine.generate(call(resume_from)).await.expect("it starts");
    let (mut tokens, mut strangers) = (Vec::new(), 0);
    while let Some(piece) = pieces.next().await {
        match piece {
            Err(error) => return (tokens, strangers, Some(error)),
            Ok(piece) if piece.request != RequestId(5) => strangers += 1,
            Ok(piece) => {
                if let PieceEvent::Token(text) = piece.event {
                    tokens.push((piece.offset.0, text));
                }
            }
        }
    }
    (tokens, strangers, None)
}

#[tokio::test]
async fn an_answer_comes_whole_resumes_and_faults_show() {
    let whole: Vec<(u64, String)> = (0..answer_length(&call(0).prompt))
        .map(|offset| (offset, token_text(&call(0).prompt, offset)))
        .collect();
    let (standin, engine, _served) = engine(false).await;
    assert_eq!(follow(&engine, 0).await, (whole.clone(), 0, None));
    assert_eq!(follow(&engine, 7).await, (whole[7..].to_vec(), 0, None));
    standin.set_fault(Fault {
        cut_after_tokens: Some(4),
        ..Fault::default()
    });
    assert_eq!(
        follow(&engine, 0).await,
        (whole[..4].to_vec(), 0, Some(EngineCallError::EndedEarly))
    );
    standin.set_fault(Fault {
        duplicate_pieces: 1,
        cross_pieces: 1,
        ..Fault::default()
    });
    let (tokens, strangers, error) = follow(&engine, 0).await;
    assert_eq!((strangers, error), (1, None));
    assert_eq!(tokens[0], tokens[1], "the first piece comes twice");
    assert_eq!(tokens[1..], whole[..]);
    standin.set_fault(Fault {
        swap_pieces: 1,
        ..Fault::default()
    });
    let (tokens, _, error) = follow(&engine, 0).await;
    assert_eq!(error, None);
    assert_eq!(
        (&tokens[0], &tokens[1]),
        (&whole[1], &whole[0]),
        "out of order"
    );
    standin.set_fault(Fault {
        crash: true,
        ..Fault::default()
    });
    assert!(matches!(
        engine.generate(call(0)).await,
        Err(EngineCallError::Unavailable)
    ));
    let nobody = HttpEngine::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(matches!(
        nobody.generate(call(0)).await,
        Err(EngineCallError::NotReached)
    ));
}

#[tokio::test]
async fn cache_events_have_gaps() {
    let (standin, engine, _served) = engine(false).await;
    follow(&engine, 0).await;
    let events = engine.cache_events(0).await.expect("events");
    assert!(!events.is_empty());
    assert!(
        events
            .iter()
            .all(|event| event.change == CacheChange::Stored)
    );
    standin.set_fault(Fault {
        lose_cache_events: 1,
        ..Fault::default()
    });
    let with_gap = engine.cache_events(0).await.expect("events");
    assert_eq!(with_gap.len(), events.len() - 1);
}

#[tokio::test]
async fn load_reports_lag() {
    let (standin, engine, _served) = engine(false).await;
    standin.set_fault(Fault {
        load_lag_ms: DurationMs(60_000),
        ..Fault::default()
    });
    let report = engine.load().await.expect("the oldest report");
    assert_eq!(report.running.0, 0);
    assert_eq!(report.slots.0, EngineSpec::default().slots.0);
}

#[tokio::test]
async fn orders_are_fenced_where_endpoints_check_and_converge_where_they_dont() {
    let order = |fence: u64, generation: u64| FencedOrder {
        fence: FenceToken(fence),
        generation,
        order: Order::LoadModel {
            model: "m".into(),
            model_version: generation,
            ticket: "t".into(),
        },
    };
    // (checks, fence, generation, reply) after an order of fence 5 and generation 5.
    let table = [
        (true, 5, 5, OrderReply::Done),
        (true, 4, 6, OrderReply::Fenced),
        (false, 4, 6, OrderReply::Done),
        (false, 4, 4, OrderReply::Fenced),
        (true, 6, 4, OrderReply::Fenced),
    ];
    for (checks_fence, fence, generation, reply) in table {
        let (standin, engine, _served) = engine(checks_fence).await;
        assert_eq!(engine.order(order(5, 5)).await, Ok(OrderReply::Done));
        assert_eq!(
            engine.order(order(fence, generation)).await,
            Ok(reply),
            "{fence} {generation}"
        );
        let highest = standin.orders().iter().map(|order| order.generation).max();
        assert_eq!(
            highest,
            Some(5.max(if standin.orders().len() > 1 {
                generation
            } else {
                0
            }))
        );
    }
}

#[tokio::test]
async fn a_plain_calls_outcome_is_told_as_it_is() {
    let standin = PlainStandin::new(false);
    let served = serve(loopback(), standin.router()).await.expect("a port");
    let service = HttpPlainService::new(served.address);
    let call = || PlainCall {
        request: RequestId(1),
        method: http::Method::POST,
        path: "/bookings/1".into(),
        idempotency_key: Some("k".into()),
        content_type: None,
        body: "x".into(),
    };
    assert_eq!(service.call(call()).await.expect("answered").status, 200);
    assert_eq!(service.load().await.expect("a report").running.0, 0);
    standin.set_fault(Fault {
        lose_answers: 1,
        ..Fault::default()
    });
    assert_eq!(service.call(call()).await, Err(PlainCallError::Unknown));
    assert_eq!(
        standin.runs_of_key()["k"],
        2,
        "the answer was lost, the call ran"
    );
    let nobody = HttpPlainService::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert_eq!(nobody.call(call()).await, Err(PlainCallError::NotReached));
    let deduplicating = PlainStandin::new(true);
    let served = serve(loopback(), deduplicating.router())
        .await
        .expect("a port");
    let service = HttpPlainService::new(served.address);
    for _ in 0..2 {
        assert_eq!(service.call(call()).await.expect("answered").status, 200);
    }
    assert_eq!(deduplicating.runs_of_key()["k"], 1);
}
