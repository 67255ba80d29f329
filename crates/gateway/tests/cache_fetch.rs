//! Tests that cached parts of prompts are fetched from another engine instead of being read again.

mod support;

use bridgevane_decisions::EndpointIx;
use bridgevane_gateway::decisions::endpoint::cache_fetch::{CacheFetch, CacheSource, choose};
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint};
use support::source::{KEY, ScriptedSource, stream_route};
use support::start;

fn source(endpoint: u32, tokens: u64) -> CacheSource {
    CacheSource {
        endpoint: EndpointIx(endpoint),
        tokens,
    }
}

/// Guards against fetches that save less time than they take, and against sources that cache less
/// than others.
#[test]
fn the_engine_with_the_most_cached_tokens_is_the_source_if_it_saves_enough() {
    let sources = [source(1, 2_000), source(2, 6_300), source(3, 6_000)];
    let fetch = |engine, cached_tokens| choose(EndpointIx(engine), cached_tokens, &sources);
    let from_two = |tokens| {
        let source = EndpointIx(2);
        Some(CacheFetch { source, tokens })
    };
    assert_eq!(fetch(7, 0), from_two(6_300));
    assert_eq!(fetch(1, 2_000), from_two(4_300));
    assert_eq!(fetch(3, 5_301), None, "too little is missing");
    assert_eq!(fetch(2, 6_300), None, "no engine fetches from itself");
    assert_eq!(choose(EndpointIx(7), 0, &[]), None);
}

/// Guards against engines that are not told which engine caches a prefix, and against a source that
/// a client sets by the request header.
#[tokio::test]
async fn a_request_names_the_engine_that_caches_its_shared_prefix() {
    let source = ScriptedSource::new();
    source.publish_configuration(3, vec![stream_route("long", false, 1)], &[KEY]);
    let engines = [
        Endpoint::start(|_| vec![Action::Hang]).await,
        Endpoint::start(|_| vec![Action::Hang]).await,
        Endpoint::start(|_| vec![Action::Hang]).await,
    ];
    for (at, engine) in engines.iter().enumerate() {
        source.publish_endpoint(&format!("e-{at}"), "model", engine.address);
    }
    let running = start(source).await;
    let prompt = "x-parts: aa:3000,bb:300\r\nx-tokens: 3300,50\r\n\
                  x-cache-source: 10.0.0.1:1\r\n";
    let mut clients = Vec::new();
    // The first choice gets a queue of prompts to read; the second engine fetches the prefix from
    // it.
    for id in 0..12 {
        let mut client = Client::connect(running.address).await;
        let id = format!("a{id}");
        client
            .send(&request("POST", "/long/x", &id, prompt, ""))
            .await;
        clients.push(client);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let addresses = engines.each_ref().map(|engine| engine.address.to_string());
    let mut named_sources = 0;
    for engine in &engines {
        let received = engine.received.lock().expect("no panic under this lock");
        for source in received
            .iter()
            .filter_map(|request| request.header("x-cache-source"))
        {
            assert!(addresses.contains(&source), "{source} is not an engine");
            assert_ne!(source, engine.address.to_string());
            named_sources += 1;
        }
    }
    assert!(named_sources > 0, "no request named a source");
}
