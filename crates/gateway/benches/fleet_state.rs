//! The cost of a fleet's state by the number of endpoints: the memory of a daemon, the size of the
//! message for a starting daemon, and the processor time of packing it and of selecting an endpoint.
//!
//! `cargo bench -p bridgevane-gateway --bench fleet_state` prints the table of docs/CAPACITY.md. Times
//! are those of one whole core; the smallest VM has an eighth of a core.
#![allow(missing_docs)]

use bridgevane_decisions::EndpointIx;
use bridgevane_gateway::decisions::eligibility::region_limits::RegionLimits;
use bridgevane_gateway::decisions::endpoint::engine_rates::EngineRates;
use bridgevane_gateway::decisions::endpoint::quiet_engines::is_stream_like;
use bridgevane_gateway::{
    Endpoint, EndpointRecord, FullState, Prompt, PromptLocations, PromptPart, Replica, Revision,
    SelectionRequest, ServiceEndpoints, SourceRecord, VersionFilter, decode_update, encode_update,
    select_endpoint,
};
use bridgevane_protocol::RecordsAnswer;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, Tokens};
use prost::Message;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

const SIZES: [u32; 3] = [1_000, 10_000, 20_000];
/// The number of runs, of which the shortest counts.
const RUNS: usize = 7;
const DATA_CENTRES: u32 = 5;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the time of the shortest run, in milliseconds.
fn shortest_ms<T>(mut run: impl FnMut() -> T) -> f64 {
    let times = (0..RUNS).map(|_| {
        let started = Instant::now();
        black_box(run());
        started.elapsed().as_secs_f64() * 1e3
    });
    times.fold(f64::INFINITY, f64::min)
}

fn id(at: u32) -> String {
    format!("i-{:010x}", xxh3_64(&at.to_le_bytes()) >> 24)
}

/// Returns a record with the length and the redundancy of those that endpoints write.
fn source_record(at: u32) -> SourceRecord {
    let value = format!(
        r#"{{"service":"huvo11a","address":"10.{}.{}.{}:8080","zone":"data-centre-{}","version":"v1","slots":32,"state":"ready","remainingWarmUp":0,"stage":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{},"born":{}}}"#,
        128 + at % DATA_CENTRES,
        at >> 8,
        at & 255,
        at % DATA_CENTRES,
        at % 97,
        1_780_000_000_000_u64 + u64::from(at) * 37,
    );
    SourceRecord {
        key: format!("endpoints/{}", id(at)),
        revision: Revision(u64::from(at) + 1),
        value: Some(value.into()),
    }
}

fn replica(endpoints: u32) -> Replica {
    let mut replica = Replica::default();
    replica.replace(&FullState {
        revision: Revision(u64::from(endpoints)),
        records: (0..endpoints).map(source_record).collect(),
    });
    replica
}

fn whole_state(replica: &Replica) -> RecordsAnswer {
    let mut answer = RecordsAnswer::default();
    encode_update(&mut answer, replica.update_since(Revision(0)));
    answer
}

fn service(endpoints: u32) -> Vec<Arc<Endpoint>> {
    let endpoints = (0..endpoints).map(|at| {
        let record = EndpointRecord {
            started_at: None,
            sequence: None,
            id: id(at).as_str().into(),
            service: "model".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: format!("data-centre-{}", at % DATA_CENTRES).as_str().into(),
            version: None,
            slots: 32,
            is_draining: false,
            is_reclaimable: false,
            cold_remaining_ms: DurationMs(0),
        };
        Arc::new(Endpoint::new(EndpointIx(at), record))
    });
    endpoints.collect()
}

fn prompt() -> Prompt {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    Prompt {
        parts: vec![part(1, 2_520), part(2, 3_780), part(3, 2_890)],
        tokens: Tokens(9_190),
        max_answer_tokens: Tokens(100),
    }
}

fn selection_ms(service: &ServiceEndpoints, prompt: &Prompt) -> f64 {
    let locations = PromptLocations::default();
    let data_centre = DataCentreId::from("data-centre-0");
    shortest_ms(|| {
        let request = SelectionRequest {
            versions: &VersionFilter::Any,
            now: TimeMs(10_000),
            daemon: 1,
            data_centre: &data_centre,
            prompt,
            tried: &[],
            data_centres_with_lost_endpoints: &[],
            region_limits: RegionLimits::EVERYWHERE,
            daemons: Some(1),
            cold: None,
            needs_quiet: is_stream_like(prompt),
            rates: EngineRates::default(),
        };
        select_endpoint(&locations, request, service).is_some()
    })
}

fn main() {
    println!(
        "endpoints | records, MB | endpoints' state, MB | whole state, KB | packed, KB | pack, ms | unpack, ms | \
         directory, ms | plain request, ms | prompt, ms"
    );
    for endpoints in SIZES {
        let before = resident_kb();
        let replica = replica(endpoints);
        let after_records = resident_kb();
        let all = service(endpoints);
        let after_endpoints = resident_kb();
        let bytes = RecordsAnswer {
            records: whole_records(&replica),
            ..RecordsAnswer::default()
        }
        .encoded_len();
        let packed = whole_state(&replica).encoded_len();
        let pack_ms = shortest_ms(|| whole_state(&replica));
        let answer = whole_state(&replica);
        let unpack_ms = shortest_ms(|| decode_update(&mut [answer.clone()]));
        let directory_ms = shortest_ms(|| ServiceEndpoints::new(all.clone()));
        let service = ServiceEndpoints::new(all);
        println!(
            "{endpoints} | {:.1} | {:.1} | {} | {} | {pack_ms:.1} | {unpack_ms:.1} | {directory_ms:.1} | {:.2} | {:.2}",
            (after_records - before) as f64 / 1e3,
            (after_endpoints - after_records) as f64 / 1e3,
            bytes / 1_000,
            packed / 1_000,
            selection_ms(&service, &Prompt::default()),
            selection_ms(&service, &prompt()),
        );
    }
}

/// Returns the uncompressed records of the whole state.
fn whole_records(replica: &Replica) -> Vec<bridgevane_protocol::RecordChange> {
    let mut answer = whole_state(replica);
    let update = decode_update(std::slice::from_mut(&mut answer)).expect("its own");
    let mut unpacked = RecordsAnswer::default();
    encode_update(&mut unpacked, update);
    let packed = std::mem::take(&mut unpacked.packed_records);
    let bytes = lz4_flex::decompress_size_prepended(&packed).expect("its own");
    let batch = bridgevane_protocol::RecordBatch::decode(bytes::Bytes::from(bytes));
    batch.expect("its own").records
}
