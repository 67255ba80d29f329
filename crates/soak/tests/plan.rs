//! Plans come from their seeds alone, and proxies do what a plan says.

use bridgevane_soak::plan::{LinkMode, Plan, Scale};
use bridgevane_soak::proxy::Proxy;
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SCALE: Scale = Scale {
    daemons: 4,
    workers: 6,
    length: Duration::from_secs(40),
};

#[test]
fn a_seed_gives_one_plan_and_another_seed_another() {
    assert_eq!(Plan::draw(7, SCALE), Plan::draw(7, SCALE));
    assert_ne!(Plan::draw(7, SCALE).events, Plan::draw(8, SCALE).events);
}

#[test]
fn every_kind_of_fault_comes_and_leaves_time_to_recover() {
    let plans = (0..60).map(|seed| Plan::draw(seed, SCALE));
    let events: Vec<_> = plans.flat_map(|plan| plan.events).collect();
    let kinds: HashSet<String> = events
        .iter()
        .map(|event| event.fault.to_string().replace(char::is_numeric, ""))
        .collect();
    assert!(kinds.len() >= 30, "{kinds:?}");
    let last = events.iter().map(|event| event.at + event.lasts).max();
    assert!(last.unwrap() <= SCALE.length - Duration::from_secs(6));
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

#[tokio::test]
async fn a_proxy_passes_delays_silences_and_resets() {
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
