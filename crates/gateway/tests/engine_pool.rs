//! Which engines take long prompts that begin with the same part, in a fleet with many more engines than it needs.
//!
//! The load that is meant: 700 engines for long prompts, four first parts of 2,520 tokens, 400 sessions that
//! each ask now and then. An engine that gets a first part for the first time reads it, whoever read it before.

mod support;

use bridgevane_decisions::EndpointIx;
use bridgevane_gateway::decisions::eligibility::region_limits::RegionLimits;
use bridgevane_gateway::decisions::endpoint::engine_pool::{EnginePool, PoolInputs};
use bridgevane_gateway::{
    EndpointHash, FirstPart, Prompt, PromptLoad, PromptLocations, PromptPart, PromptsRunning,
    SelectionRequest, ServiceEndpoints, WorkByEndpoint, select_endpoint,
};
use bridgevane_types::{DataCentreId, TimeMs, Tokens};
use std::collections::HashSet;
use support::records;

const NOW: TimeMs = TimeMs(60_000);
const FIRST_PARTS: u64 = 4;
const SESSIONS: u64 = 400;

fn pool(running: u32, engines: usize, busy_for_ms: u64) -> EnginePool {
    EnginePool::new(
        FirstPart(77),
        PoolInputs {
            running,
            engines,
            busy_since: Some(TimeMs(NOW.0 - busy_for_ms)),
            now: NOW,
        },
    )
}

#[test]
fn a_pool_grows_with_what_runs_and_never_beyond_all_engines() {
    let shares = [0, 26, 105, 210, 1_000].map(|running| pool(running, 6_800, 60_000).share());
    // From a sixteenth on sessions that move cost more than a pool saves.
    assert_eq!(
        shares,
        [1.0 / 64.0, 1.0 / 64.0, 1.0 / 32.0, 1.0 / 16.0, 1.0]
    );
    // Few engines are all needed, whatever runs.
    assert_eq!(pool(0, 255, 60_000).share(), 1.0);
    assert_eq!(pool(0, 256, 60_000).share(), 1.0 / 16.0);
    assert_eq!(pool(0, 0, 60_000).share(), 1.0);
}

#[test]
fn it_shrinks_step_by_step_from_the_first_work_on() {
    let shares = [0, 1_900, 2_100, 2_600, 60_000].map(|ms| pool(0, 6_800, ms).share());
    assert_eq!(shares, [1.0, 1.0, 1.0 / 16.0, 1.0 / 32.0, 1.0 / 64.0]);
    let idle = EnginePool::new(
        FirstPart(77),
        PoolInputs {
            running: 0,
            engines: 6_800,
            busy_since: None,
            now: NOW,
        },
    );
    assert_eq!(idle.share(), 1.0, "nobody has told of any work");
}

/// Daemons that differ in their figures share the smaller one's engines.
#[test]
fn a_smaller_pool_lies_within_a_larger_one() {
    let (small, large) = (pool(0, 6_800, 60_000), pool(200, 6_800, 60_000));
    let mut counts = [0, 0];
    for engine in 0..6_800_u32 {
        let engine = EndpointHash(engine.wrapping_mul(2_654_435_761));
        counts[0] += u32::from(small.contains(engine));
        counts[1] += u32::from(large.contains(engine));
        assert!(large.contains(engine) || !small.contains(engine));
    }
    assert!((70..145).contains(&counts[0]), "about 106: {counts:?}");
    assert!((370..480).contains(&counts[1]), "about 425: {counts:?}");
}

fn service() -> ServiceEndpoints {
    records::service(1_000, 32, |_| "dc-0".to_owned())
}

/// Identifiers of parts are hashes of their names.
fn part_id(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn prompt(session: u64) -> Prompt {
    let part = |id, tokens| PromptPart {
        id: part_id(id),
        tokens: Tokens(tokens),
    };
    Prompt {
        parts: vec![
            part(session % FIRST_PARTS, 2_520),
            part(1_000 + session, 3_780),
            part(99_999, 2_890),
        ],
        tokens: Tokens(9_190),
        max_answer_tokens: Tokens(100),
    }
}

fn placed(service: &ServiceEndpoints, session: u64, running: PromptsRunning) -> EndpointIx {
    let prompt = prompt(session);
    let request = SelectionRequest {
        now: NOW,
        daemon: session,
        data_centre: &DataCentreId::from("dc-0"),
        prompt: &prompt,
        tried: &[],
        lost_in: &[],
        region_limits: RegionLimits::EVERYWHERE,
        prompts_running: running,
        cold: None,
    };
    let selected = select_endpoint(&PromptLocations::default(), request, service);
    selected.expect("an engine").endpoint.index
}

/// How often a first part is read by an engine that hadn't.
fn first_part_readings(running: PromptsRunning) -> usize {
    let service = service();
    let readings: HashSet<(EndpointIx, u64)> = (0..SESSIONS)
        .map(|session| (placed(&service, session, running), session % FIRST_PARTS))
        .collect();
    readings.len()
}

#[test]
fn sessions_with_the_same_first_part_share_the_engines_that_read_it() {
    let nothing_known = first_part_readings(PromptsRunning::default());
    assert!(nothing_known > 280, "{nothing_known}: nearly each session");
    let known = first_part_readings(PromptsRunning {
        running: 2,
        busy_since: Some(TimeMs(0)),
    });
    println!("{nothing_known} readings of first parts, {known} by pools");
    assert!(known <= 4 * 60, "{known}: some 44 engines for each part");
}

/// A session keeps its engine when the pool stays as it is.
#[test]
fn a_session_keeps_its_engine() {
    let service = service();
    let running = PromptsRunning {
        running: 2,
        busy_since: Some(TimeMs(0)),
    };
    for session in 0..50 {
        let first = placed(&service, session, running);
        assert_eq!(placed(&service, session, running), first);
    }
}

#[test]
fn what_others_run_is_known_while_it_is_told() {
    let load = PromptLoad::default();
    let part = FirstPart(7);
    assert_eq!(load.running(NOW, part), PromptsRunning::default());
    let mut others = WorkByEndpoint::default();
    others.add_prompts(part, 30);
    load.on_report(NOW, &others);
    let later = TimeMs(NOW.0 + 500);
    load.on_report(later, &others);
    let known = load.running(later, part);
    assert_eq!((known.running, known.busy_since), (30, Some(NOW)));
    let silent = TimeMs(later.0 + 1_200);
    assert_eq!(load.running(silent, part), PromptsRunning::default());
    load.on_report(silent, &WorkByEndpoint::default());
    assert_eq!(load.running(silent, part).busy_since, None, "a pause");
}
