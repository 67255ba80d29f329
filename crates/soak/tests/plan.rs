//! Plans depend on their seeds alone, and proxies implement the modes of a plan.

use bridgevane_soak::plan::{LinkMode, Plan, RunSize};
use bridgevane_soak::proxy::Proxy;
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const RUN_SIZE: RunSize = RunSize {
    daemons: 4,
    workers: 6,
    duration: Duration::from_secs(40),
};

/// Guards against a failed run that can't be repeated from its seed.
#[test]
fn the_plan_of_a_seed_is_reproducible_and_differs_between_seeds() {
    assert_eq!(Plan::draw(7, RUN_SIZE), Plan::draw(7, RUN_SIZE));
    assert_ne!(
        Plan::draw(7, RUN_SIZE).events,
        Plan::draw(8, RUN_SIZE).events
    );
}

/// Guards against faults that are never drawn, or that leave no time to recover.
#[test]
fn every_kind_of_fault_is_drawn_and_none_lasts_into_the_last_6_s() {
    let plans = (0..60).map(|seed| Plan::draw(seed, RUN_SIZE));
    let events: Vec<_> = plans.flat_map(|plan| plan.events).collect();
    let kinds: HashSet<String> = events
        .iter()
        .map(|event| event.fault.to_string().replace(char::is_numeric, ""))
        .collect();
    assert!(kinds.len() >= 30, "{kinds:?}");
    let last = events.iter().map(|event| event.at + event.lasts).max();
    assert!(last.unwrap() <= RUN_SIZE.duration - Duration::from_secs(6));
}

async fn echo() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

async fn serve_echo(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut read, mut write) = stream.split();
            let _ = tokio::io::copy(&mut read, &mut write).await;
        });
    }
}

async fn says_back(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let reading = timeout(Duration::from_millis(300), stream.read_exact(&mut byte));
    matches!(reading.await, Ok(Ok(_)))
}

/// Guards against a proxy that loses held bytes, or that lets bytes through a blocked link.
#[tokio::test]
async fn a_proxy_forwards_holds_and_resets_as_its_mode_says() {
    let listener = echo().await;
    let target = listener.local_addr().unwrap();
    tokio::spawn(serve_echo(listener));
    let proxy = Proxy::start(target).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    assert!(says_back(&mut stream).await);
    for mode in [LinkMode::Silent, LinkMode::OneWay] {
        proxy.set(mode);
        assert!(!says_back(&mut stream).await, "{mode}");
        proxy.set(LinkMode::Passes);
        let mut held = [0];
        let reading = timeout(Duration::from_secs(2), stream.read_exact(&mut held));
        reading.await.expect("it heals").expect("nothing is lost");
    }
    proxy.set(LinkMode::Reset);
    assert!(!says_back(&mut stream).await);
    let mut late = TcpStream::connect(proxy.address).await.unwrap();
    assert!(!says_back(&mut late).await);
}
