//! Late surplus answers of an endpoint, in the place of the answer to the request that runs.

mod support;

use bridgevane_gateway::Repeatability::AtMostOnce;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashMap;
use support::client::{Client, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start};

/// The number of seeds of the search; `SURPLUS_SEEDS` overrides it.
const SEEDS: u64 = 20;
/// The requests of one seed, one after the other.
const REQUESTS: usize = 50;

/// Starts a gateway before one service with two endpoints, whose scripts see the requests of both.
async fn start_gateway(
    script: impl Fn(usize) -> Vec<Action> + Clone + Send + Sync + 'static,
) -> (RunningGateway, [Endpoint; 2]) {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
    let endpoints = [
        Endpoint::start(script.clone()).await,
        Endpoint::start(script).await,
    ];
    for (at, endpoint) in endpoints.iter().enumerate() {
        source.publish_endpoint(&format!("e-{at}"), "plain", endpoint.address);
    }
    (start(source).await, endpoints)
}

/// Returns how often each request ran, by its identifier; `x-id` lines of requests are unique.
fn runs(endpoints: &[Endpoint]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for endpoint in endpoints {
        for request in endpoint.received.lock().unwrap().iter() {
            let id = request.header("x-id").expect("an identifier");
            *runs.entry(id).or_default() += 1;
        }
    }
    runs
}

/// Sends this many requests, one after the other on one connection; returns the statuses of their
/// answers.
async fn statuses(running: &RunningGateway, requests: usize) -> Vec<u16> {
    let mut client = Client::connect(running.address).await;
    let mut statuses = Vec::new();
    for at in 0..requests {
        let id = format!("a{at}");
        let text = request("POST", "/once/x", &id, "x-deadline: 1500\r\n", "");
        client.send(&text).await;
        statuses.push(client.answer().await.expect("an answer").status);
    }
    statuses
}

/// What a surplus answer may say: each of these made the request that runs count as not executed, or
/// its endpoint as full, leaving, limited or elsewhere.
const SURPLUS: [&str; 7] = [
    "503 Service Unavailable\r\nx-not-run: 1",
    "429 Too Many Requests\r\nx-not-run: 1\r\nretry-after: 60",
    "421 Misdirected Request",
    "421 Misdirected Request\r\nx-not-run: 1",
    "503 Service Unavailable\r\nretry-after: 60",
    "200 OK\r\nx-leaving: 1",
    "200 OK\r\nx-rate-limit: 0.001",
];

/// Returns a surplus answer to the request `id`.
fn surplus(id: &str, says: &str) -> Action {
    Action::Send(format!(
        "HTTP/1.1 {says}\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// An endpoint sent a second answer to an earlier request while the next one ran on the connection;
/// the refusal in it was taken for that request's, which ran again at another endpoint.
#[tokio::test]
async fn a_surplus_answer_of_an_earlier_request_says_nothing_about_the_one_that_runs() {
    for says in SURPLUS {
        let script = move |at| match at {
            1 => vec![surplus("a0", says), answer("200 OK", "late")],
            _ => vec![answer("200 OK", "fine")],
        };
        let (running, endpoints) = start_gateway(script).await;
        let statuses = statuses(&running, 12).await;
        let runs = runs(&endpoints);
        assert!(runs.values().all(|runs| *runs == 1), "{says}: {runs:?}");
        // The endpoints answer in time with room left: only the disturbed requests fail.
        let failed = statuses.iter().filter(|status| **status != 200).count();
        assert!(failed <= 2, "{says}: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 502].contains(status)));
    }
}

/// A back-off, a limit or a farewell in such an answer kept its endpoint from all further requests.
#[tokio::test]
async fn a_surplus_answer_of_an_earlier_request_says_nothing_about_its_endpoint() {
    for says in SURPLUS {
        let endpoint = Endpoint::start(move |at| match at {
            1 => vec![surplus("a0", says), answer("200 OK", "late")],
            _ => vec![answer("200 OK", "fine")],
        })
        .await;
        let source = ScriptedSource::new();
        source.publish_configuration(1, vec![plain_route("once", AtMostOnce, 1)], &[KEY]);
        source.publish_endpoint("e-0", "plain", endpoint.address);
        let running = start(source).await;
        let statuses = statuses(&running, 4).await;
        assert_eq!(statuses, [200, 502, 200, 200], "{says}");
    }
}

/// Searches orders of surplus answers: with any status and header, of another request, before or
/// behind the answer that is due.
#[tokio::test]
async fn no_order_of_surplus_answers_makes_a_request_run_twice() {
    let seeds = std::env::var("SURPLUS_SEEDS").ok();
    let seeds = seeds.map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    for seed in 0..seeds {
        let script = move |at| {
            let mut random = Pcg32::seed_from_u64(seed << 16 | at as u64);
            let own = answer("200 OK", "fine");
            if at == 0 || !random.random_ratio(1, 3) {
                return vec![own];
            }
            let says = SURPLUS[random.random_range(0..SURPLUS.len())];
            let earlier = format!("a{}", random.random_range(0..REQUESTS));
            let surplus = surplus(&format!("{earlier}-old"), says);
            if random.random_bool(0.5) {
                vec![surplus, own]
            } else {
                vec![own, surplus]
            }
        };
        let (running, endpoints) = start_gateway(script).await;
        let statuses = statuses(&running, REQUESTS).await;
        assert!(
            statuses.iter().all(|status| [200, 502].contains(status)),
            "seed {seed}: {statuses:?}"
        );
        let runs = runs(&endpoints);
        assert!(
            runs.values().all(|runs| *runs == 1),
            "seed {seed}: {runs:?}"
        );
    }
}
