//! Tests of the bytes of each message, of frames that must be refused, and of the handshake.

use bridgevane_protocol::crash_news::Fact;
use bridgevane_protocol::frame::Body;
use bridgevane_protocol::record_change::Change;
use bridgevane_protocol::{
    Completeness, ConfigDelta, ConfigSnapshot, ConfigWanted, CrashNews, DaemonPlace,
    EndpointNotice, EndpointWork, ForwardingAnswer, ForwardingWanted, Frame, FrameCodec,
    FrameError, HandshakeError, Heartbeat, Hello, KeyClaim, KeyEnded, KeyEndedHeard, KeyVerdict,
    MAX_FRAME_BYTES, MemberState, MemberUpdate, PROTOCOL_VERSION, PartFingerprint, PoolDispatch,
    PoolOffer, PoolOrder, PoolRefuse, PoolReport, Proof, Query, QueryAnswer, RecordChange,
    RecordPatch, RecordsAnswer, RecordsWanted, RequestFingerprint, Role, SectionChange, SourcePath,
    StateReport, StreamBegins, StreamsBegun, StreamsBegunHeard, compute_proof, perform_handshake,
    pool_order, pool_report,
};
use bytes::{BufMut, Bytes, BytesMut};
use expect_test::expect;
use proptest::prelude::*;
use prost::Message;
use std::fmt::Write as _;
use tokio_util::codec::{Decoder, Encoder, Framed};

fn hello(vm: &str) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        vm: vm.into(),
        data_centre: "bo-c".into(),
        incarnation: 7,
        nonce: Bytes::from_static(&[1, 2, 3]),
        peer_address: "10.0.0.1:7000".into(),
    }
}

fn offer() -> PoolOffer {
    PoolOffer {
        service: "tutor".into(),
        request: Bytes::from_static(&[9; 16]),
        class: "report".into(),
        customer: "c".into(),
        kind: "k".into(),
        prompt_tokens: 300,
        max_tokens: 64,
        blocks: vec![1, 2],
        block_tokens: 16,
        fingerprint: Some(fingerprint()),
        is_repeatable: true,
        is_preemptible: true,
    }
}

fn messages() -> Vec<(&'static str, Body)> {
    let change = SectionChange {
        path: "class.a".into(),
        text: Some("tier = 1".into()),
    };
    let update = MemberUpdate {
        vm: "vm-2".into(),
        peer_address: "10.0.0.2:7000".into(),
        incarnation: 3,
        refutation: 1,
        state: MemberState::Suspect.into(),
        accuser: "vm-1".into(),
    };
    let heartbeat = Heartbeat {
        sequence: 5,
        config_version: 8,
        highest_config_version: 9,
        members_digest: 10,
        updates: vec![update],
    };
    let request = Bytes::from_static(&[9; 16]);
    let order = |order| PoolOrder {
        request: request.clone(),
        order: Some(order),
    };
    let dispatch = PoolDispatch {
        attempt: 1,
        engine: "e".into(),
        priority: 2,
        resume_from: 0,
        cached_tokens: 64,
    };
    let refuse = PoolRefuse {
        code: "queue_full".into(),
        outcome: "not-run".into(),
        retry_after_ms: Some(250),
    };
    let report = |report| PoolReport {
        has_engine_ended: false,
        service: "tutor".into(),
        request: request.clone(),
        attempt: 1,
        gap_ms: 30,
        report: Some(report),
    };
    vec![
        ("hello", Body::Hello(hello("vm-1"))),
        (
            "proof",
            Body::Proof(Proof {
                mac: Bytes::from_static(&[4, 5]),
            }),
        ),
        ("heartbeat", Body::Heartbeat(heartbeat.clone())),
        ("heartbeat_ack", Body::HeartbeatAck(heartbeat)),
        (
            "config_wanted",
            Body::ConfigWanted(ConfigWanted { have_version: 3 }),
        ),
        (
            "config_delta",
            Body::ConfigDelta(ConfigDelta {
                from_version: 3,
                to_version: 4,
                changes: vec![change.clone()],
                digest: 6,
            }),
        ),
        (
            "config_snapshot",
            Body::ConfigSnapshot(ConfigSnapshot {
                version: 4,
                sections: vec![change],
                digest: 6,
            }),
        ),
        ("pool_offer", Body::PoolOffer(offer())),
        (
            "pool_order dispatch",
            Body::PoolOrder(order(pool_order::Order::Dispatch(dispatch))),
        ),
        (
            "pool_order refuse",
            Body::PoolOrder(order(pool_order::Order::Refuse(refuse))),
        ),
        (
            "pool_report engine ended",
            Body::PoolReport(PoolReport {
                has_engine_ended: true,
                ..report(pool_report::Report::Lost(4))
            }),
        ),
        (
            "pool_report progress",
            Body::PoolReport(report(pool_report::Report::Progress(16))),
        ),
        (
            "pool_report lost",
            Body::PoolReport(report(pool_report::Report::Lost(16))),
        ),
        (
            "key_claim",
            Body::KeyClaim(KeyClaim {
                claim: 1,
                service: "desk".into(),
                customer: "c".into(),
                key: "k".into(),
                request: request.clone(),
                call_digest: 2,
                is_asked_before: false,
            }),
        ),
        (
            "key_verdict",
            Body::KeyVerdict(KeyVerdict {
                claim: 1,
                verdict: 3,
                status: 200,
                content_type: "a/b".into(),
                body: Bytes::from_static(b"ok"),
            }),
        ),
        (
            "key_ended",
            Body::KeyEnded(KeyEnded {
                service: "desk".into(),
                customer: "c".into(),
                key: "k".into(),
                request,
                is_known: Some(true),
                status: 200,
                content_type: "a/b".into(),
                body: Bytes::new(),
                claim: 12,
            }),
        ),
        (
            "key_ended_heard",
            Body::KeyEndedHeard(KeyEndedHeard { claim: 12 }),
        ),
        (
            "forwarding_wanted",
            Body::ForwardingWanted(ForwardingWanted {
                vm: "vm-1".into(),
                data_centre: "bo-c".into(),
                service: "model".into(),
            }),
        ),
        (
            "forwarding_answer",
            Body::ForwardingAnswer(ForwardingAnswer {
                is_accepted: true,
                data_centre: "bo-c".into(),
                daemons: vec![DaemonPlace {
                    peer_address: "10.0.0.3:7000".into(),
                    data_centre: "mi-a".into(),
                }],
                serving: vec![DaemonPlace {
                    peer_address: "10.0.0.4:7000".into(),
                    data_centre: "mi-a".into(),
                }],
            }),
        ),
        (
            "query",
            Body::Query(Query {
                query: 1,
                text: "show vms".into(),
            }),
        ),
        (
            "query_answer",
            Body::QueryAnswer(QueryAnswer {
                query: 1,
                rows: Bytes::from_static(b"[]"),
                error: String::new(),
            }),
        ),
        (
            "records_wanted",
            Body::RecordsWanted(RecordsWanted {
                vm: "vm-1".into(),
                data_centre: "bo-c".into(),
                peer_address: "10.0.0.1:7000".into(),
                at: 7,
                tree_size: 3,
                tree_work: vec![endpoint_work()],
                is_for_work: true,
                tree_depth: 2,
                proof_age_ms: None,
                crash_news: Vec::new(),
                takes_parts: false,
                endpoint_notices: Vec::new(),
                brittle_notices: Vec::new(),
                era: None,
                state: None,
                is_single: false,
            }),
        ),
        (
            "records_wanted era",
            Body::RecordsWanted(RecordsWanted {
                at: 7,
                era: Some(2),
                ..Default::default()
            }),
        ),
        (
            "records_answer era",
            Body::RecordsAnswer(RecordsAnswer {
                at: 7,
                era: Some(2),
                ..Default::default()
            }),
        ),
        (
            "records_wanted state",
            Body::RecordsWanted(RecordsWanted {
                state: Some(state_report()),
                ..Default::default()
            }),
        ),
        (
            "records_answer state",
            Body::RecordsAnswer(RecordsAnswer {
                state: Some(state_report()),
                ..Default::default()
            }),
        ),
        (
            "records_wanted proof",
            Body::RecordsWanted(RecordsWanted {
                proof_age_ms: Some(700),
                ..Default::default()
            }),
        ),
        (
            "records_answer",
            Body::RecordsAnswer(RecordsAnswer {
                at: 9,
                proof_age_ms: Some(500),
                held_ms: 3,
                is_whole: false,
                records: vec![
                    record_change("a", 8, Change::Whole(Bytes::from_static(b"x"))),
                    record_change("b", 8, Change::Gone(true)),
                    record_change("c", 9, Change::Patch(patch())),
                ],
                data_centre: "bo-c".into(),
                redirect: "10.0.0.2:7000".into(),
                fleet_size: 80,
                work: vec![endpoint_work()],
                packed_records: Bytes::from_static(b"packed"),
                path: None,
                siblings: Vec::new(),
                crash_news: Vec::new(),
                has_more: false,
                endpoint_notices: Vec::new(),
                config_version: 0,
                brittle_notices: Vec::new(),
                era: None,
                stream_begins: Vec::new(),
                state: None,
            }),
        ),
        (
            "records_answer path",
            Body::RecordsAnswer(RecordsAnswer {
                path: Some(SourcePath {
                    daemons: vec!["10.0.0.3:7000".into(), "10.0.0.4:7000".into()],
                    reaches_source: true,
                }),
                siblings: vec!["10.0.0.5:7000".into()],
                ..Default::default()
            }),
        ),
        (
            "records_wanted crash news",
            Body::RecordsWanted(RecordsWanted {
                crash_news: vec![
                    crash_news(Fact::CrashedEndpoint(0x0102_0304)),
                    crash_news(Fact::Served(true)),
                ],
                ..Default::default()
            }),
        ),
        (
            "records_wanted notices",
            Body::RecordsWanted(RecordsWanted {
                endpoint_notices: vec![endpoint_notice(Some(1.4)), endpoint_notice(None)],
                ..Default::default()
            }),
        ),
        (
            "records_answer notices",
            Body::RecordsAnswer(RecordsAnswer {
                endpoint_notices: vec![endpoint_notice(Some(1.4))],
                ..Default::default()
            }),
        ),
        (
            "records_wanted parts",
            Body::RecordsWanted(RecordsWanted {
                takes_parts: true,
                ..Default::default()
            }),
        ),
        (
            "records_answer more",
            Body::RecordsAnswer(RecordsAnswer {
                has_more: true,
                ..Default::default()
            }),
        ),
        (
            "records_answer stream begins",
            Body::RecordsAnswer(RecordsAnswer {
                stream_begins: vec![stream_begins()],
                ..Default::default()
            }),
        ),
        (
            "streams_begun",
            Body::StreamsBegun(StreamsBegun {
                begins: vec![stream_begins()],
            }),
        ),
        (
            "streams_begun_heard",
            Body::StreamsBegunHeard(StreamsBegunHeard {}),
        ),
        (
            "records_wanted crash news of a part",
            Body::RecordsWanted(RecordsWanted {
                crash_news: vec![CrashNews {
                    request: None,
                    part: Some(PartFingerprint {
                        service: 0x0102_0304,
                        part: 0x1112_1314_1516_1718,
                    }),
                    ..crash_news(Fact::Served(true))
                }],
                ..Default::default()
            }),
        ),
        (
            "records_answer crash news",
            Body::RecordsAnswer(RecordsAnswer {
                crash_news: vec![crash_news(Fact::Quarantined(true))],
                ..Default::default()
            }),
        ),
    ]
}

fn stream_begins() -> StreamBegins {
    StreamBegins {
        version: 0x0102_0304,
        attempt: 1,
        age_ms: 20,
        streams: vec![0x0a0b_0c0d, 0x1112_1314],
    }
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint {
        customer: 0x0a0b_0c0d,
        content: 0x1112_1314_1516_1718,
    }
}

fn endpoint_notice(requests_per_s: Option<f64>) -> EndpointNotice {
    EndpointNotice {
        endpoint: 0x0102_0304,
        requests_per_s,
        age_ms: 300,
        turned_away_ms: None,
        had_room_ms: None,
    }
}

fn crash_news(fact: Fact) -> CrashNews {
    CrashNews {
        request: Some(fingerprint()),
        part: None,
        age_ms: 400,
        fact: Some(fact),
    }
}

fn record_change(key: &str, revision: u64, change: Change) -> RecordChange {
    RecordChange {
        key: key.into(),
        revision,
        change: Some(change),
    }
}

fn state_report() -> StateReport {
    StateReport {
        era: 1,
        at: 300,
        completeness: Completeness::Witnessed.into(),
        config_version: 12,
    }
}

fn endpoint_work() -> EndpointWork {
    EndpointWork {
        endpoint: 5,
        prompt_tokens: 4_000,
        running: 7,
        quiet_streams: 3,
        work_time: 60,
    }
}

fn patch() -> RecordPatch {
    RecordPatch {
        base_digest: 0,
        base_revision: 4,
        kept_head: 10,
        kept_tail: 20,
        inserted: Bytes::from_static(b"new"),
    }
}

/// Guards against a change of the wire format, which would make daemons of different versions
/// misread each other.
#[test]
fn messages_keep_their_bytes_and_decode_to_the_same_messages() {
    let mut golden = String::new();
    for (name, body) in messages() {
        let frame = Frame { body: Some(body) };
        let mut bytes = BytesMut::new();
        FrameCodec::default()
            .encode(frame.clone(), &mut bytes)
            .expect("the frame can be encoded");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(golden, "{name} {hex}").expect("a String accepts text");
        let decoded = FrameCodec::default()
            .decode(&mut bytes)
            .expect("the frame decodes");
        assert_eq!(decoded, Some(frame), "{name}");
        assert!(bytes.is_empty());
    }
    expect![[r#"
        hello 000000260a2408011204766d2d311a04626f2d6320072a03010203320d31302e302e302e313a37303030
        proof 0000000612040a020405
        heartbeat 0000002d1a2b080510081809200a2a210a04766d2d32120d31302e302e302e323a373030301803200128033204766d2d31
        heartbeat_ack 0000002d222b080510081809200a2a210a04766d2d32120d31302e302e302e323a373030301803200128033204766d2d31
        config_wanted 000000042a020803
        config_delta 000000243222080310041a130a07636c6173732e61120874696572203d2031210600000000000000
        config_snapshot 000000223a20080412130a07636c6173732e61120874696572203d2031190600000000000000
        pool_offer 0000005642540a057475746f721210090909090909090909090909090909091a067265706f72742201632a016b30ac023840421001000000000000000200000000000000481050015801620e0d0d0c0b0a111817161514131211
        pool_order dispatch 0000001f4a1d0a10090909090909090909090909090909091209080112016518022840
        pool_order refuse 0000002e4a2c0a100909090909090909090909090909090922180a0a71756575655f66756c6c12076e6f742d72756e18fa01
        pool_report engine ended 0000002352210a057475746f7212100909090909090909090909090909090918014804581e6801
        pool_report progress 00000021521f0a057475746f7212100909090909090909090909090909090918012810581e
        pool_report lost 00000021521f0a057475746f7212100909090909090909090909090909090918014810581e
        key_claim 0000002b5a29080112046465736b1a016322016b2a1009090909090909090909090909090909310200000000000000
        key_verdict 0000001262100801100318c8012203612f622a026f6b
        key_ended 0000002c6a2a0a046465736b1201631a016b221009090909090909090909090909090909280130c8013a03612f62480c
        key_ended_heard 00000005aa0102080c
        forwarding_wanted 00000016b201130a04766d2d311204626f2d631a056d6f64656c
        forwarding_answer 00000039ba013608011204626f2d631a150a0d31302e302e302e333a3730303012046d692d6122150a0d31302e302e302e343a3730303012046d692d61
        query 0000000e720c0801120873686f7720766d73
        query_answer 000000087a06080112025b5d
        records_wanted 000000368a01330a04766d2d311204626f2d631a0d31302e302e302e313a3730303020072803320e0d0500000010a01f18072003283c38014002
        records_wanted era 000000078a010420076802
        records_answer era 000000089201050807800102
        records_wanted state 0000000f8a010c8a0109080110ac021802200c
        records_answer state 0000000f92010cb20109080110ac021802200c
        records_wanted proof 000000068a010348bc05
        records_answer 0000006092015d080910f40318032a080a016110081a01782a070a0162100828012a120a01631009220b0804100a181422036e65773204626f2d633a0d31302e302e302e323a3730303040504a0e0d0500000010a01f18072003283c52067061636b6564
        records_answer path 000000349201315a200a0d31302e302e302e333a373030300a0d31302e302e302e343a373030301001620d31302e302e302e353a37303030
        records_wanted crash news 000000348a013152180a0e0d0d0c0b0a111817161514131211189003250403020152150a0e0d0d0c0b0a1118171615141312111890032801
        records_wanted notices 000000208a011d62110d0403020111666666666666f63f18ac0262080d0403020118ac02
        records_answer notices 000000169201137a110d0403020111666666666666f63f18ac02
        records_wanted parts 000000058a01025801
        records_answer more 000000059201027001
        records_answer stream begins 000000199201169a01130d040302011001181422080d0c0b0a14131211
        streams_begun 00000018c201150a130d040302011001181422080d0c0b0a14131211
        streams_begun_heard 00000003ca0100
        records_wanted crash news of a part 0000001a8a0117521518900328013a0e0d04030201111817161514131211
        records_answer crash news 0000001a9201176a150a0e0d0d0c0b0a1118171615141312111890033001
    "#]].assert_eq(&golden);
}

/// Guards against daemons that refuse frames of newer daemons during an update.
#[test]
fn fields_and_messages_of_later_versions_are_ignored() {
    let frame = Frame {
        body: Some(Body::ConfigWanted(ConfigWanted { have_version: 3 })),
    };
    let mut block = frame.encode_to_vec();
    // Field 900 of the frame, a text.
    block.extend([0xa2, 0x38, 3, b'n', b'e', b'w']);
    assert_eq!(
        Frame::decode(block.as_slice()).expect("the frame decodes"),
        frame
    );
    let unknown_body = [0xa2, 0x38, 1, b'x'];
    let decoded = Frame::decode(unknown_body.as_slice()).expect("the frame decodes");
    assert_eq!(decoded.body, None);
}

/// Guards against frames that exhaust memory, and against data that is decoded although a part of it
/// is missing or invalid.
#[test]
fn oversized_truncated_and_malformed_frames_are_refused() {
    let mut long = BytesMut::new();
    long.put_u32(MAX_FRAME_BYTES as u32 + 1);
    assert!(matches!(
        FrameCodec::default().decode(&mut long),
        Err(FrameError::TooLong)
    ));
    let mut cut = BytesMut::new();
    cut.put_u32(10);
    cut.put_slice(&[1, 2, 3]);
    assert!(matches!(FrameCodec::default().decode(&mut cut), Ok(None)));
    assert!(matches!(
        FrameCodec::default().decode_eof(&mut cut),
        Err(FrameError::Truncated)
    ));
    let mut malformed = BytesMut::new();
    malformed.put_u32(3);
    malformed.put_slice(&[0x0a, 0xff, 0xff]);
    assert!(matches!(
        FrameCodec::default().decode(&mut malformed),
        Err(FrameError::Malformed)
    ));
    let body = Bytes::from(vec![0; MAX_FRAME_BYTES + 1]);
    let frame = Frame {
        body: Some(Body::QueryAnswer(QueryAnswer {
            query: 1,
            rows: body,
            error: String::new(),
        })),
    };
    let mut bytes = BytesMut::new();
    assert!(matches!(
        FrameCodec::default().encode(frame, &mut bytes),
        Err(FrameError::TooLong)
    ));
}

async fn handshake(
    caller_key: &'static [u8],
    listener_key: &'static [u8],
    version: u32,
) -> (Result<Hello, HandshakeError>, Result<Hello, HandshakeError>) {
    let (one, two) = tokio::io::duplex(1 << 16);
    let mut caller = Framed::new(one, FrameCodec::default());
    let mut listener = Framed::new(two, FrameCodec::default());
    let own = Hello {
        protocol_version: version,
        ..hello("vm-1")
    };
    let called = async {
        let result = perform_handshake(&mut caller, Role::Caller, own, caller_key).await;
        drop(caller);
        result
    };
    let answered = async {
        let result =
            perform_handshake(&mut listener, Role::Listener, hello("vm-2"), listener_key).await;
        drop(listener);
        result
    };
    tokio::join!(called, answered)
}

/// Guards against connections from peers without the shared key or with an unsupported version.
#[tokio::test]
async fn a_handshake_needs_the_shared_key_and_a_supported_version() {
    let (caller, listener) = handshake(b"the key", b"the key", PROTOCOL_VERSION).await;
    assert_eq!(caller.expect("the handshake succeeds").vm, "vm-2");
    assert_eq!(listener.expect("the handshake succeeds").vm, "vm-1");
    let (caller, listener) = handshake(b"another", b"the key", PROTOCOL_VERSION).await;
    assert!(matches!(caller, Err(HandshakeError::WrongKey)));
    assert!(matches!(listener, Err(HandshakeError::WrongKey)));
    let (_, listener) = handshake(b"the key", b"the key", 0).await;
    assert!(matches!(listener, Err(HandshakeError::Version(0))));
}

/// Guards against a proof that a peer without the key reflects or replays.
#[test]
fn a_proof_is_valid_for_one_side_and_one_pair_of_greetings() {
    let (one, two) = (hello("vm-1"), hello("vm-2"));
    let proof = compute_proof(b"key", Role::Caller, &one, &two);
    assert_ne!(proof, compute_proof(b"key", Role::Listener, &one, &two));
    assert_ne!(proof, compute_proof(b"key", Role::Caller, &two, &one));
    let other_nonce = Hello {
        nonce: Bytes::from_static(&[9]),
        ..hello("vm-2")
    };
    assert_ne!(
        proof,
        compute_proof(b"key", Role::Caller, &one, &other_nonce)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The decoder returns frames or an error for any input, and its buffer doesn't grow.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(bytes.as_slice());
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        prop_assert!(buffer.len() <= bytes.len());
    }
}
