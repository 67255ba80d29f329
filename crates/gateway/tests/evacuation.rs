//! A data centre that operators evacuate: its endpoints get nothing new, from the moment that a daemon knows
//! of it until the data centre is taken back.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::Revision;
use bridgevane_gateway::decisions::eligibility::evacuation::Evacuations;
use bridgevane_types::DataCentreId;
use std::collections::HashSet;
use std::time::Duration;
use support::client::{Client, Got, request};
use support::endpoint::{Act, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{Running, start};

/// Requests of one look at where they go.
const REQUESTS: usize = 12;
/// The daemon is in the first one.
const DATA_CENTRES: [&str; 2] = ["dc-1", "dc-2"];

struct Stage {
    running: Running,
    endpoints: [Endpoint; 2],
}

/// One endpoint in each data centre; the first request of each waits for a moment.
async fn stage(first_answer_takes: Duration) -> Stage {
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("often", Idempotent, 2),
        plain_route("once", AtMostOnce, 1),
    ];
    source.configure(1, routes, &[KEY]);
    let script = move |at| {
        let pause = if at == 0 {
            first_answer_takes
        } else {
            Duration::ZERO
        };
        vec![Act::Wait(pause), answer("200 OK", "fine")]
    };
    let endpoints = [Endpoint::start(script).await, Endpoint::start(script).await];
    for (data_centre, endpoint) in DATA_CENTRES.iter().zip(&endpoints) {
        let id = format!("e-{data_centre}");
        source.endpoint_in(data_centre, &id, "plain", endpoint.address);
    }
    let running = start(source).await;
    Stage { running, endpoints }
}

impl Stage {
    fn counts(&self) -> [usize; 2] {
        [self.endpoints[0].count(), self.endpoints[1].count()]
    }

    /// What each endpoint gets of some requests, all of which are served.
    async fn shares(&self) -> [usize; 2] {
        let before = self.counts();
        for _ in 0..REQUESTS {
            assert_eq!(ask(&self.running, "often").await.status, 200);
        }
        let after = self.counts();
        [after[0] - before[0], after[1] - before[1]]
    }
}

async fn ask(running: &Running, route: &str) -> Got {
    let mut client = Client::connect(running.address).await;
    let path = format!("/{route}/x");
    let text = request("GET", &path, "a1", "x-deadline: 900\r\n", "");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}

#[tokio::test]
async fn its_endpoints_get_nothing_until_it_is_taken_back() {
    let stage = stage(Duration::ZERO).await;
    assert_eq!(stage.shares().await, [REQUESTS, 0], "the near one");
    stage.running.source.evacuate("dc-1");
    settle().await;
    assert_eq!(stage.shares().await, [0, REQUESTS]);
    stage.running.source.take_back("dc-1");
    settle().await;
    assert_eq!(stage.shares().await, [REQUESTS, 0]);
}

#[tokio::test]
async fn what_runs_there_goes_on_to_its_end() {
    let stage = stage(Duration::from_millis(500)).await;
    let under_way = ask(&stage.running, "once");
    let evacuated = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stage.running.source.evacuate("dc-1");
    };
    let (got, ()) = tokio::join!(under_way, evacuated);
    assert_eq!((got.status, stage.counts()), (200, [1, 0]));
}

#[tokio::test]
async fn with_all_of_them_evacuated_requests_are_refused_as_not_run() {
    let stage = stage(Duration::ZERO).await;
    stage.running.source.evacuate("dc-1");
    stage.running.source.evacuate("dc-2");
    settle().await;
    let got = ask(&stage.running, "often").await;
    assert_eq!((got.status, stage.counts()), (503, [0, 0]));
    assert!(got.header("retry-after").is_some(), "{}", got.head);
}

/// History may be lost together with the news that a record is gone.
#[tokio::test]
async fn a_whole_state_without_the_record_ends_the_evacuation() {
    let stage = stage(Duration::ZERO).await;
    stage.running.source.evacuate("dc-1");
    settle().await;
    assert_eq!(stage.shares().await, [0, REQUESTS]);
    stage.running.source.fail_once_with_history_lost();
    stage.running.source.take_back("dc-1");
    settle().await;
    assert_eq!(stage.shares().await, [REQUESTS, 0]);
}

#[tokio::test]
async fn a_record_that_cant_be_read_changes_nothing() {
    let stage = stage(Duration::ZERO).await;
    stage.running.source.spoil_evacuation("dc-1");
    stage.running.source.evacuate("no-such-data-centre");
    settle().await;
    assert_eq!(stage.shares().await, [REQUESTS, 0]);
    stage.running.source.evacuate("dc-1");
    settle().await;
    stage.running.source.spoil_evacuation("dc-1");
    stage.running.source.fail_once_with_history_lost();
    settle().await;
    assert_eq!(stage.shares().await, [0, REQUESTS], "it stays evacuated");
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let data_centre = DataCentreId::from("dc-1");
    let mut evacuations = Evacuations::default();
    assert!(evacuations.begin(&data_centre, Revision(5)));
    assert!(!evacuations.end(&data_centre, Revision(4)));
    assert!(evacuations.contains(&data_centre));
    let nothing = HashSet::new();
    assert!(evacuations.unlisted(&nothing, Revision(4)).is_empty());
    assert_eq!(evacuations.unlisted(&nothing, Revision(5)).len(), 1);
    assert!(evacuations.end(&data_centre, Revision(6)));
    assert!(!evacuations.begin(&data_centre, Revision(5)));
    assert!(!evacuations.contains(&data_centre));
}
