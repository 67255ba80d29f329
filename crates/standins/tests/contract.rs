//! The contracts of the platform, engines and plain services with their fault cases, tested through
//! the adapters that the product uses.

use bridgevane_adapters::{
    CacheChange, EngineCallError, FencedOrder, GenerateCall, HttpEngine, HttpPlainService,
    HttpPlatform, KeyValue, KvCas, KvError, KvRevision, ModelEngine, Order, OrderReply, PieceEvent,
    PlainCall, PlainCallError, PlainService, VmList, WeightStore,
};
use bridgevane_standins::{
    EngineSpec, EngineStandin, EngineStandinSettings, PlainStandin, PlatformSettings,
    PlatformStandin, StandinFault, StandinServer, answer_length, serve, token_text,
};
use bridgevane_types::{AttemptNumber, DurationMs, FenceToken, RequestId, Tier, Tokens};
use futures_util::StreamExt;
use std::net::SocketAddr;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn platform(settings: PlatformSettings) -> (PlatformStandin, HttpPlatform, StandinServer) {
    let standin = PlatformStandin::new(settings);
    let server = serve(loopback(), standin.router()).await.expect("a port");
    let adapter = HttpPlatform::new(server.address);
    (standin, adapter, server)
}

fn cas(key: &str, expected: Option<KvRevision>, text: &str) -> KvCas {
    KvCas {
        key: key.into(),
        expected,
        text: Some(text.into()),
        lease: None,
    }
}

/// Guards against lost updates: two writers with the same expected revision must not both succeed.
#[tokio::test]
async fn a_compare_and_swap_with_an_outdated_revision_conflicts() {
    let (_, kv, _server) = platform(PlatformSettings::default()).await;
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

/// Guards against a missed change: a value written before the watch began must be returned too.
#[tokio::test]
async fn a_watch_returns_a_newer_value_or_none_at_its_deadline() {
    let (standin, kv, _server) = platform(PlatformSettings::default()).await;
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
    // The newer value was written before this watch began.
    let missed = kv
        .watch("k", first, DurationMs(30))
        .await
        .expect("answered");
    assert_eq!(missed.map(|value| value.revision), Some(second));
}

/// Guards against a write that took effect but is reported as failed, or the other way round.
/// Each row: the fault, the adapter's error for a write, and whether the write took effect.
#[tokio::test]
async fn errors_of_the_key_value_service_tell_whether_a_write_may_have_taken_effect() {
    let down = StandinFault {
        is_down: true,
        ..StandinFault::default()
    };
    let lost = StandinFault {
        lose_answers: 1,
        ..StandinFault::default()
    };
    let rate = StandinFault {
        refuse_by_rate: 1,
        ..StandinFault::default()
    };
    let slow = StandinFault {
        delay_ms: DurationMs(50),
        ..StandinFault::default()
    };
    let refused = KvError::RateLimited {
        retry_after_ms: DurationMs(1_000),
    };
    let table: [(&str, StandinFault, Option<KvError>, bool); 4] = [
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
        let (standin, kv, _server) = platform(PlatformSettings::default()).await;
        standin.set_fault(fault);
        let result = kv.compare_and_swap(cas("k", None, "a")).await;
        assert_eq!(result.clone().err(), expected, "{name}");
        assert_eq!(standin.read("k").is_some(), takes_effect, "{name}");
        if let Some(error) = expected {
            // A write that took effect must not be reported as one that didn't.
            assert_eq!(error.may_have_taken_effect(), takes_effect, "{name}");
        }
    }
    let unreachable = HttpPlatform::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert_eq!(
        unreachable.compare_and_swap(cas("k", None, "a")).await,
        Err(KvError::NotReached)
    );
}

/// Guards against calls that bypass the platform's rates, and against renewals that change a lease.
#[tokio::test]
async fn leases_are_renewed_and_calls_above_a_rate_are_refused() {
    let (_, kv, _server) = platform(PlatformSettings::default()).await;
    let lease = kv.grant_lease(DurationMs(60_000)).await.expect("granted");
    assert_eq!(kv.renew_lease(lease.id).await, Ok(lease));
    assert!(kv.list().await.expect("a read").is_empty());
    assert!(kv.ticket(&"m".into(), 1).await.is_ok());
    // A rate of 0 admits no call, so that the result doesn't depend on the clock.
    let zero_rates = PlatformSettings {
        writes_per_s: 0,
        reads_per_s: 0,
        tickets_per_s: 0,
    };
    let (standin, kv, _server) = platform(zero_rates).await;
    let refused = |error: Option<KvError>| matches!(error, Some(KvError::RateLimited { .. }));
    assert!(refused(kv.grant_lease(DurationMs(1)).await.err()));
    assert!(refused(kv.get("k").await.err()));
    assert!(refused(kv.ticket(&"m".into(), 1).await.err()));
    assert_eq!(standin.peak_use().most_writes_per_s, 1);
}

/// Guards against a key that outlives its lease, such as a holder record of a dead holder.
#[tokio::test]
async fn keys_are_removed_when_their_lease_expires() {
    let (standin, kv, _server) = platform(PlatformSettings::default()).await;
    let lease = kv.grant_lease(DurationMs(1)).await.expect("granted");
    let held = KvCas {
        lease: Some(lease.id),
        ..cas("k", None, "holder")
    };
    // The lease may expire before or after this write; it has expired at the read below.
    let _ = kv.compare_and_swap(held).await;
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    assert_eq!(kv.renew_lease(lease.id).await, Err(KvError::LeaseGone));
    assert_eq!(standin.read("k"), None);
}

async fn engine(checks_fence: bool) -> (EngineStandin, HttpEngine, StandinServer) {
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
    let server = serve(loopback(), standin.router()).await.expect("a port");
    let adapter = HttpEngine::new(server.address);
    (standin, adapter, server)
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

/// Reads an answer to its end: its tokens by offset, the number of foreign pieces, and its error.
async fn read_answer(
    engine: &HttpEngine,
    resume_from: u64,
) -> (Vec<(u64, String)>, usize, Option<EngineCallError>) {
    let mut pieces = engine.generate(call(resume_from)).await.expect("it starts");
    let (mut tokens, mut foreign_pieces) = (Vec::new(), 0);
    while let Some(piece) = pieces.next().await {
        match piece {
            Err(error) => return (tokens, foreign_pieces, Some(error)),
            Ok(piece) if piece.request != RequestId(5) => foreign_pieces += 1,
            Ok(piece) => {
                if let PieceEvent::Token(text) = piece.event {
                    tokens.push((piece.offset.0, text));
                }
            }
        }
    }
    (tokens, foreign_pieces, None)
}

/// Guards against stream faults that the adapter hides: cut, duplicated, swapped or foreign pieces.
#[tokio::test]
async fn an_answer_is_complete_and_resumable_and_stream_faults_are_visible() {
    let whole: Vec<(u64, String)> = (0..answer_length(&call(0).prompt))
        .map(|offset| (offset, token_text(&call(0).prompt, offset)))
        .collect();
    let (standin, engine, _server) = engine(false).await;
    assert_eq!(read_answer(&engine, 0).await, (whole.clone(), 0, None));
    assert_eq!(
        read_answer(&engine, 7).await,
        (whole[7..].to_vec(), 0, None)
    );
    standin.set_fault(StandinFault {
        cut_after_tokens: Some(4),
        ..StandinFault::default()
    });
    assert_eq!(
        read_answer(&engine, 0).await,
        (whole[..4].to_vec(), 0, Some(EngineCallError::EndedEarly))
    );
    standin.set_fault(StandinFault {
        duplicate_pieces: 1,
        cross_pieces: 1,
        ..StandinFault::default()
    });
    let (tokens, foreign_pieces, error) = read_answer(&engine, 0).await;
    assert_eq!((foreign_pieces, error), (1, None));
    assert_eq!(tokens[0], tokens[1], "the first piece comes twice");
    assert_eq!(tokens[1..], whole[..]);
    standin.set_fault(StandinFault {
        swap_pieces: 1,
        ..StandinFault::default()
    });
    let (tokens, _, error) = read_answer(&engine, 0).await;
    assert_eq!(error, None);
    assert_eq!(
        (&tokens[0], &tokens[1]),
        (&whole[1], &whole[0]),
        "out of order"
    );
    standin.set_fault(StandinFault {
        crash: true,
        ..StandinFault::default()
    });
    assert!(matches!(
        engine.generate(call(0)).await,
        Err(EngineCallError::Unavailable)
    ));
    let unreachable = HttpEngine::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(matches!(
        unreachable.generate(call(0)).await,
        Err(EngineCallError::NotReached)
    ));
}

/// Guards against readers that take the cache events for complete: lost ones leave a gap.
#[tokio::test]
async fn lost_cache_events_leave_a_gap() {
    let (standin, engine, _server) = engine(false).await;
    read_answer(&engine, 0).await;
    let events = engine.cache_events(0).await.expect("events");
    assert!(!events.is_empty());
    assert!(
        events
            .iter()
            .all(|event| event.change == CacheChange::Stored)
    );
    standin.set_fault(StandinFault {
        lose_cache_events: 1,
        ..StandinFault::default()
    });
    let with_gap = engine.cache_events(0).await.expect("events");
    assert_eq!(with_gap.len(), events.len() - 1);
}

/// Guards against a missing answer when the lag is longer than the engine has run: the oldest
/// report is served.
#[tokio::test]
async fn a_lag_before_the_first_load_report_returns_the_oldest_report() {
    let (standin, engine, _server) = engine(false).await;
    standin.set_fault(StandinFault {
        load_lag_ms: DurationMs(60_000),
        ..StandinFault::default()
    });
    let report = engine.load().await.expect("the oldest report");
    assert_eq!(report.running.0, 0);
    assert_eq!(report.slots.0, EngineSpec::default().slots.0);
}

/// Guards against orders of a former duty holder: an endpoint that checks the fencing token refuses
/// them, and any endpoint refuses an older generation.
#[tokio::test]
async fn orders_with_an_old_fence_or_generation_are_refused() {
    let order = |fence: u64, generation: u64| FencedOrder {
        fence: FenceToken(fence),
        generation,
        order: Order::LoadModel {
            model: "m".into(),
            model_version: generation,
            ticket: "t".into(),
        },
    };
    // (checks_fence, fence, generation, reply) of an order after one of fence 5 and generation 5.
    let table = [
        (true, 5, 5, OrderReply::Done),
        (true, 4, 6, OrderReply::Fenced),
        (false, 4, 6, OrderReply::Done),
        (false, 4, 4, OrderReply::Fenced),
        (true, 6, 4, OrderReply::Fenced),
    ];
    for (checks_fence, fence, generation, reply) in table {
        let (standin, engine, _server) = engine(checks_fence).await;
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

/// Guards against a call that ran but is reported as not run when its answer is lost.
#[tokio::test]
async fn a_plain_call_whose_answer_is_lost_has_an_unknown_outcome() {
    let standin = PlainStandin::new(false);
    let server = serve(loopback(), standin.router()).await.expect("a port");
    let service = HttpPlainService::new(server.address);
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
    standin.set_fault(StandinFault {
        lose_answers: 1,
        ..StandinFault::default()
    });
    assert_eq!(service.call(call()).await, Err(PlainCallError::Unknown));
    assert_eq!(
        standin.runs_of_key()["k"],
        2,
        "the answer was lost, the call ran"
    );
    let unreachable = HttpPlainService::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert_eq!(
        unreachable.call(call()).await,
        Err(PlainCallError::NotReached)
    );
    let deduplicating = PlainStandin::new(true);
    let server = serve(loopback(), deduplicating.router())
        .await
        .expect("a port");
    let service = HttpPlainService::new(server.address);
    for _ in 0..2 {
        assert_eq!(service.call(call()).await.expect("answered").status, 200);
    }
    assert_eq!(deduplicating.runs_of_key()["k"], 1);
}
