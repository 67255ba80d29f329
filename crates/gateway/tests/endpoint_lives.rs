//! An endpoint that starts again under the id that it had: nothing of its life before is held against it,
//! or counted for it, and what is told late of that life changes nothing.

mod support;

use bridgevane_gateway::Repeatability::Idempotent;
use std::sync::Arc;
use std::time::Duration;
use support::client::{Client, request};
use support::endpoint::{Act, Endpoint, answer};
use support::source::{KEY, Life, ScriptedSource, plain_route};
use support::{Running, start};

const BORN: u64 = 1_780_000_000_000;

fn life(born: u64, sequence: u64) -> Life {
    Life {
        born: Some(born),
        sequence,
        is_draining: false,
    }
}

async fn stage(first: Life) -> (Running, Endpoint) {
    let source = ScriptedSource::new();
    source.configure(1, vec![plain_route("often", Idempotent, 1)], &[KEY]);
    let endpoint = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    source.life("e-0", "plain", endpoint.address, first);
    (start(source).await, endpoint)
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}

fn only_endpoint(running: &Running) -> Arc<bridgevane_gateway::Endpoint> {
    let directory = running.gateway.control.directory();
    let service = directory.service(&"plain".into()).expect("the service");
    assert_eq!(service.all.len(), 1);
    service.all[0].clone()
}

async fn status(running: &Running) -> Option<u16> {
    let mut client = Client::connect(running.address).await;
    let text = request("GET", "/often/x", "a1", "x-deadline: 700\r\n", "");
    client.send(&text).await;
    Some(client.answer().await?.status)
}

#[tokio::test]
async fn a_later_life_begins_with_nothing_of_the_earlier() {
    let (running, _first) = stage(life(BORN, 900)).await;
    assert_eq!(status(&running).await, Some(200));
    let before = only_endpoint(&running);
    let now = running.gateway.clock.now();
    before.health.on_lost(now);
    before.health.on_failed(now);
    let second = Endpoint::start(|_| vec![answer("200 OK", "fine")]).await;
    // Its count starts anew.
    running
        .source
        .life("e-0", "plain", second.address, life(BORN + 4_000, 1));
    settle().await;
    let after = only_endpoint(&running);
    assert_ne!(
        after.index, before.index,
        "prompts that the earlier life read aren't its own"
    );
    assert_ne!(
        after.hash, before.hash,
        "nor is the work that others tell of it"
    );
    assert_eq!(after.health.snapshot(now).failure_share, 0.0);
    assert_eq!(status(&running).await, Some(200));
    assert_eq!(second.count(), 1, "it gets work at once");
}

#[tokio::test]
async fn late_news_of_an_earlier_life_changes_nothing() {
    let (running, second) = stage(life(BORN + 4_000, 3)).await;
    let gone = Endpoint::start(|_| vec![Act::Hang]).await;
    let leaving = Life {
        is_draining: true,
        ..life(BORN, 1_000)
    };
    running.source.life("e-0", "plain", gone.address, leaving);
    settle().await;
    assert_eq!(status(&running).await, Some(200));
    // Of the same life, written before what is known and carried out after it.
    running
        .source
        .life("e-0", "plain", gone.address, life(BORN + 4_000, 2));
    settle().await;
    assert_eq!(status(&running).await, Some(200));
    assert_eq!((second.count(), gone.count()), (2, 0));
}

/// With ten thousand endpoints a look at each of them for every heartbeat is most of what a daemon does.
#[tokio::test]
async fn a_heartbeat_builds_no_directory() {
    let (running, endpoint) = stage(life(BORN, 1)).await;
    let before = running.gateway.control.directory();
    running
        .source
        .life("e-0", "plain", endpoint.address, life(BORN, 2));
    settle().await;
    let after = running.gateway.control.directory();
    assert!(
        Arc::ptr_eq(&before, &after),
        "the same endpoints may get work"
    );
    let leaving = Life {
        is_draining: true,
        ..life(BORN, 3)
    };
    running
        .source
        .life("e-0", "plain", endpoint.address, leaving);
    settle().await;
    let directory = running.gateway.control.directory();
    assert!(directory.service(&"plain".into()).is_none());
}

/// Where endpoints don't say when they were born, a record changes the endpoint that is known.
#[tokio::test]
async fn without_a_birth_it_is_the_same_endpoint() {
    let unborn = |sequence| Life {
        born: None,
        sequence,
        is_draining: false,
    };
    let (running, endpoint) = stage(unborn(1)).await;
    let before = only_endpoint(&running);
    running
        .source
        .life("e-0", "plain", endpoint.address, unborn(2));
    settle().await;
    assert_eq!(only_endpoint(&running).index, before.index);
}
