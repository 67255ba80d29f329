//! Requests with one part in their prompts that crashes every engine which begins to answer them, no
//! two of them alike, beside sound requests of the same customer with the same first part.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use std::net::SocketAddr;
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::crashing::{CRASHING_PART, CrashingEngines};
use support::source::{KEY, ScriptedSource, plain_route, stream_route};
use support::{RunningGateway, start_fleet};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Half of the time that an engine runs a request.
const RUN: Duration = Duration::from_millis(20);
/// The interval at which requests with the crashing part are sent.
const CRASHING_INTERVAL: Duration = Duration::from_millis(120);
/// The interval at which sound requests are sent.
const SOUND_INTERVAL: Duration = Duration::from_millis(15);
/// The sessions that sound requests belong to.
const SESSIONS: usize = 12;
/// The time after the fifth crash within which every daemon must know the part.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// The number of crashes after which a part is put away at the latest.
const MAX_CRASHES: usize = 5;
/// How many requests with the part may reach an engine after that time.
const MAX_LATE_REQUESTS: usize = 3;
/// The least share of sound requests that are served at the first attempt after twice that time.
const MIN_SOUND_SHARE: f64 = 0.95;

fn source() -> ScriptedSource {
    let source = ScriptedSource::new();
    let routes = vec![
        stream_route("stream", false, 1),
        stream_route("resume", true, 2),
        plain_route("once", AtMostOnce, 1),
    ];
    source.publish_configuration(1, routes, &[KEY]);
    source
}

/// The number of daemons.
const DAEMONS: usize = 6;

async fn send(daemon: SocketAddr, path: &str, id: &str, parts: &str) -> Option<ClientAnswer> {
    let extra = format!("x-deadline: 900\r\nx-parts: {parts}\r\nx-tokens: 310,20\r\n");
    let mut client = Client::connect(daemon).await;
    // The body differs, too.
    client.send(&request("POST", path, id, &extra, id)).await;
    client.answer().await
}

/// Sends a request with the crashing part; no two are alike.
async fn send_crashing(daemon: SocketAddr, path: &'static str, at: usize) {
    let parts = format!("sys:100,{CRASHING_PART}:200,own-c{at}:10");
    send(daemon, path, &format!("c{at}"), &parts).await;
}

/// Sends a sound request, which must not be stopped; returns whether it was answered completely.
async fn send_sound(daemon: SocketAddr, at: usize) -> bool {
    let parts = format!("sys:100,session-{}:200,own-s{at}:10", at % SESSIONS);
    let answer = send(daemon, "/stream/x", &format!("s{at}"), &parts).await;
    answer.is_some_and(|answer| {
        assert!(
            !answer.body.contains("ends_endpoints"),
            "a sound request is stopped"
        );
        answer.status == 200 && answer.is_whole
    })
}

/// Sends requests with the crashing part until `until`, each to the next daemon.
async fn send_crashing_until(daemons: Vec<SocketAddr>, path: &'static str, until: Instant) {
    let mut at = 0;
    while Instant::now() < until {
        tokio::spawn(send_crashing(daemons[at % daemons.len()], path, at));
        at += 1;
        sleep(CRASHING_INTERVAL).await;
    }
}

/// Sends sound requests until `until`, each to the next daemon, and returns the share of those sent
/// from `counted_from` on that were served.
async fn sound_share(daemons: Vec<SocketAddr>, counted_from: Instant, until: Instant) -> f64 {
    let mut sending = JoinSet::new();
    let mut at = 0;
    while Instant::now() < until {
        let daemon = daemons[at % daemons.len()];
        let is_counted = Instant::now() >= counted_from;
        sending.spawn(async move { (is_counted, send_sound(daemon, at).await) });
        at += 1;
        sleep(SOUND_INTERVAL).await;
    }
    let all = sending.join_all().await;
    let counted: Vec<bool> = (all.into_iter())
        .filter(|(is_counted, _)| *is_counted)
        .map(|(_, is_served)| is_served)
        .collect();
    let served = counted.iter().filter(|is_served| **is_served).count();
    served as f64 / counted.len().max(1) as f64
}

/// Waits until so many engines have crashed.
async fn wait_for_crashes(engines: &CrashingEngines, crashes: usize) {
    while engines.crashed() < crashes {
        sleep(Duration::from_millis(2)).await;
    }
}

fn addresses(fleet: &[RunningGateway]) -> Vec<SocketAddr> {
    fleet.iter().map(|daemon| daemon.address).collect()
}

/// Guards against daemons that forward requests with a part under which five engines have crashed,
/// because no two of the requests are alike, and against a quarantine that also stops the first part,
/// the customer or the sessions that ran beside them.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashed_five_engines_is_stopped_on_every_daemon_and_sound_requests_are_served()
{
    let source = source();
    let engines = CrashingEngines::start_for_part(&source, 24, RUN).await;
    let fleet = start_fleet(&source, DAEMONS).await;
    let daemons = addresses(&fleet);
    let begin = Instant::now();
    let end = begin + 4 * CONTACT_TIME;
    let counted_from = begin + 3 * CONTACT_TIME;
    let sound = tokio::spawn(sound_share(daemons.clone(), counted_from, end));
    let crashing = tokio::spawn(send_crashing_until(daemons, "/stream/x", end));
    wait_for_crashes(&engines, MAX_CRASHES).await;
    assert!(Instant::now() + 2 * CONTACT_TIME < counted_from);
    sleep_until(Instant::now() + CONTACT_TIME).await;
    let before = engines.received_with_part(CRASHING_PART);
    crashing.await.expect("no panic");
    let late = engines.received_with_part(CRASHING_PART) - before;
    assert!(
        late <= MAX_LATE_REQUESTS,
        "{late} late requests, {} crashes",
        engines.crashed()
    );
    let share = sound.await.expect("no panic");
    assert!(
        share >= MIN_SOUND_SHARE,
        "{share} of the sound requests were served"
    );
}

/// Guards against a part that is stopped on one route of its service and crashes engines by another,
/// and against retries and resumed streams that crash more engines than requests were sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashed_engines_on_one_route_is_stopped_on_all_routes_of_the_service() {
    let source = source();
    let engines = CrashingEngines::start_for_part(&source, 24, RUN).await;
    let fleet = start_fleet(&source, DAEMONS).await;
    let daemons = addresses(&fleet);
    let sound = tokio::spawn(sound_share(
        daemons.clone(),
        Instant::now(),
        Instant::now() + 3 * CONTACT_TIME,
    ));
    let until = Instant::now() + 2 * CONTACT_TIME;
    send_crashing_until(daemons.clone(), "/resume/x", until).await;
    assert!(engines.crashed() >= 3, "it has crashed engines");
    let before = engines.received_with_part(CRASHING_PART);
    for (at, daemon) in daemons.into_iter().enumerate() {
        send_crashing(daemon, "/stream/x", 10_000 + at).await;
    }
    let late = engines.received_with_part(CRASHING_PART) - before;
    assert_eq!(late, 0, "{} crashes", engines.crashed());
    sound.await.expect("no panic");
}

/// Guards against a quarantine of a part that is lost when all daemons are replaced: only the entries
/// at the control source are left.
#[tokio::test(flavor = "multi_thread")]
async fn the_quarantine_of_a_part_survives_the_replacement_of_all_daemons() {
    let source = source();
    let engines = CrashingEngines::start_for_part(&source, 24, RUN).await;
    let first_runtime = Runtime::new().unwrap();
    let first_source = source.clone();
    let starting =
        first_runtime.spawn(async move { addresses(&start_fleet(&first_source, DAEMONS).await) });
    let daemons = starting.await.expect("they start");
    let until = Instant::now() + 2 * CONTACT_TIME;
    let sound = tokio::spawn(sound_share(daemons.clone(), Instant::now(), until));
    send_crashing_until(daemons, "/stream/x", until).await;
    sound.await.expect("no panic");
    first_runtime.shutdown_background();
    let second = start_fleet(&source, DAEMONS).await;
    let before = engines.received_with_part(CRASHING_PART);
    for (at, daemon) in addresses(&second).into_iter().enumerate() {
        send_crashing(daemon, "/stream/x", 10_000 + at).await;
    }
    assert_eq!(engines.received_with_part(CRASHING_PART), before);
    assert!(send_sound(second[0].address, 0).await);
}
