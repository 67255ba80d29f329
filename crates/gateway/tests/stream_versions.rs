//! Tests that a stream goes on only at the software version that began it, whichever daemon the
//! client comes back to.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::client::{Client, request};
use support::source::{KEY, ScriptedSource, stream_route};
use support::versions::{AfterFirstEvent, VersionedEngines, begin_and_leave, take_up};
use support::{RunningGateway, start, start_daemon};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The number of streams of a test.
const STREAMS: usize = 24;
/// The least share of streams that go on while engines of their version serve.
const MIN_GOING_ON: f64 = 0.95;
/// The time after which streams begin at every version, with the settings of the tests.
const NOTICE_TIME: Duration = Duration::from_millis(900);

fn source() -> ScriptedSource {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![stream_route("resume", true, 2)], &[KEY]);
    source
}

/// Starts daemons that know each other.
async fn start_fleet(source: &ScriptedSource, daemons: usize) -> Vec<RunningGateway> {
    let mut listeners = Vec::new();
    for _ in 0..daemons {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let seeds: Vec<SocketAddr> = (listeners.iter().take(2))
        .map(|each| each.local_addr().unwrap())
        .collect();
    let mut fleet = Vec::new();
    for (at, listener) in listeners.into_iter().enumerate() {
        fleet.push(start_daemon(&format!("vm-{at}"), source, listener, &seeds).await);
    }
    fleet
}

/// Guards against a stream that breaks off and goes on at an engine of another version inside the
/// same answer: the endpoint's version was not known when it was resumed.
#[tokio::test]
#[ignore = "listed in KNOWN-RED.txt"]
async fn a_stream_that_breaks_off_goes_on_at_the_version_that_began_it() {
    let source = source();
    let versions = ["v1", "v2", "v1", "v2", "v3", "v3"];
    let engines = VersionedEngines::start(&source, &versions, AfterFirstEvent::BreakOff).await;
    let running = start(source).await;
    sleep(NOTICE_TIME).await;
    let mut whole = 0;
    for at in 0..STREAMS {
        let id = format!("a{at}");
        let mut client = Client::connect(running.address).await;
        let text = request("POST", "/resume/x", &id, "x-deadline: 1500\r\n", "");
        client.send(&text).await;
        let answer = client.answer().await.expect("an answer");
        whole += usize::from(answer.is_whole);
        let versions = engines.versions_with("x-id", &id);
        assert!(
            versions.iter().all(|each| *each == versions[0]),
            "{versions:?}"
        );
    }
    assert!(
        whole as f64 >= MIN_GOING_ON * STREAMS as f64,
        "{whole} went on"
    );
}

/// Guards against a client that comes back to another daemon and gets events of another version: the
/// daemon didn't know at which version the stream had begun.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn a_client_that_comes_back_to_another_daemon_gets_the_version_that_began_its_stream() {
    let source = source();
    let versions = ["v1", "v2", "v1", "v2", "v3", "v3"];
    let engines = VersionedEngines::start(&source, &versions, AfterFirstEvent::Stall).await;
    let fleet = start_fleet(&source, 6).await;
    sleep(NOTICE_TIME).await;
    let mut gone_on = 0;
    for at in 0..STREAMS {
        let (first, second) = (format!("a{at}"), format!("b{at}"));
        let daemon = |skip: usize| fleet[(at + skip) % fleet.len()].address;
        assert!(begin_and_leave(daemon(0), &first).await);
        let answer = take_up(daemon(1 + at % 5), &second, &first).await;
        gone_on += usize::from(answer.status == 200 && answer.is_whole);
        let begun = engines.versions_with("x-id", &first);
        let taken_up = engines.versions_with("x-id", &second);
        assert!(
            taken_up.iter().all(|each| begun.contains(each)),
            "{begun:?} {taken_up:?}"
        );
    }
    assert!(
        gone_on as f64 >= MIN_GOING_ON * STREAMS as f64,
        "{gone_on} went on"
    );
}
