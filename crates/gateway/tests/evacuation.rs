//! Tests that endpoints of an evacuated data centre get no new requests, from the moment that a
//! daemon knows of the evacuation until it ends.

mod support;

use bridgevane_gateway::Repeatability::{AtMostOnce, Idempotent};
use bridgevane_gateway::Revision;
use bridgevane_gateway::decisions::eligibility::evacuation::Evacuations;
use bridgevane_types::DataCentreId;
use std::collections::HashSet;
use std::time::Duration;
use support::client::{Client, ClientAnswer, request};
use support::endpoint::{Action, Endpoint, answer};
use support::source::{KEY, ScriptedSource, plain_route};
use support::{RunningGateway, start};

/// The number of requests with which the distribution is observed.
const REQUESTS: usize = 12;
/// The data centres; the daemon is in the first one.
const DATA_CENTRES: [&str; 2] = ["dc-1", "dc-2"];

struct Stage {
    running: RunningGateway,
    endpoints: [Endpoint; 2],
}

/// Starts one endpoint in each data centre; the first request of each is answered after a delay.
async fn start_stage(first_answer_delay: Duration) -> Stage {
    let source = ScriptedSource::new();
    let routes = vec![
        plain_route("often", Idempotent, 2),
        plain_route("once", AtMostOnce, 1),
    ];
    source.publish_configuration(1, routes, &[KEY]);
    let script = move |at| {
        let pause = if at == 0 {
            first_answer_delay
        } else {
            Duration::ZERO
        };
        vec![Action::Wait(pause), answer("200 OK", "fine")]
    };
    let endpoints = [Endpoint::start(script).await, Endpoint::start(script).await];
    for (data_centre, endpoint) in DATA_CENTRES.iter().zip(&endpoints) {
        let id = format!("e-{data_centre}");
        source.publish_endpoint_in(data_centre, &id, "plain", endpoint.address);
    }
    let running = start(source).await;
    Stage { running, endpoints }
}

impl Stage {
    fn counts(&self) -> [usize; 2] {
        [
            self.endpoints[0].request_count(),
            self.endpoints[1].request_count(),
        ]
    }

    /// Returns the number of requests that each endpoint gets out of `REQUESTS`, all of which are
    /// served.
    async fn request_counts(&self) -> [usize; 2] {
        let before = self.counts();
        for _ in 0..REQUESTS {
            assert_eq!(ask(&self.running, "often").await.status, 200);
        }
        let after = self.counts();
        [after[0] - before[0], after[1] - before[1]]
    }
}

async fn ask(running: &RunningGateway, route: &str) -> ClientAnswer {
    let mut client = Client::connect(running.address).await;
    let path = format!("/{route}/x");
    let text = request("GET", &path, "a1", "x-deadline: 900\r\n", "");
    client.send(&text).await;
    client.answer().await.expect("an answer")
}

async fn wait_for_update() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}

/// Guards against requests to a data centre that operators are about to cut off, and against one
/// that stays unused afterwards.
#[tokio::test]
async fn endpoints_of_an_evacuated_data_centre_get_no_requests_until_it_ends() {
    let stage = start_stage(Duration::ZERO).await;
    assert_eq!(
        stage.request_counts().await,
        [REQUESTS, 0],
        "the nearest one"
    );
    stage.running.source.evacuate("dc-1");
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [0, REQUESTS]);
    stage.running.source.end_evacuation("dc-1");
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [REQUESTS, 0]);
}

/// Guards against an evacuation that cancels running requests.
#[tokio::test]
async fn running_requests_of_an_evacuated_data_centre_are_completed() {
    let stage = start_stage(Duration::from_millis(500)).await;
    let running_request = ask(&stage.running, "once");
    let evacuated = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stage.running.source.evacuate("dc-1");
    };
    let (got, ()) = tokio::join!(running_request, evacuated);
    assert_eq!((got.status, stage.counts()), (200, [1, 0]));
}

/// Guards against sending to evacuated endpoints because no others are left.
#[tokio::test]
async fn requests_are_refused_as_not_run_if_all_data_centres_are_evacuated() {
    let stage = start_stage(Duration::ZERO).await;
    stage.running.source.evacuate("dc-1");
    stage.running.source.evacuate("dc-2");
    wait_for_update().await;
    let got = ask(&stage.running, "often").await;
    assert_eq!((got.status, stage.counts()), (503, [0, 0]));
    assert!(got.header("retry-after").is_some(), "{}", got.head);
}

/// Guards against an evacuation that never ends because the removal of its record was lost with the
/// history of the source.
#[tokio::test]
async fn a_full_state_without_the_record_ends_the_evacuation() {
    let stage = start_stage(Duration::ZERO).await;
    stage.running.source.evacuate("dc-1");
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [0, REQUESTS]);
    stage.running.source.fail_once_with_history_lost();
    stage.running.source.end_evacuation("dc-1");
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [REQUESTS, 0]);
}

/// Guards against an evacuation that ends because the store came back from a copy without it, and
/// against one that begins again because the copy still has it.
#[tokio::test]
async fn a_return_from_a_copy_neither_ends_an_evacuation_nor_begins_one_again() {
    let stage = start_stage(Duration::ZERO).await;
    let source = &stage.running.source;
    let without = source.newest();
    source.evacuate("dc-1");
    wait_for_update().await;
    source.restore_copy(without);
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [0, REQUESTS]);
    source.evacuate("dc-1");
    wait_for_update().await;
    let with = source.newest();
    source.end_evacuation("dc-1");
    wait_for_update().await;
    source.restore_copy(with);
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [REQUESTS, 0]);
}

/// Guards against the same at the next full state of the store's new era, which is read when the
/// store has forgotten its history or a daemon gets another upstream: only the first one after the
/// return counted as one from a copy.
#[tokio::test]
async fn a_later_full_state_of_the_copy_neither_ends_an_evacuation_nor_begins_one_again() {
    let stage = start_stage(Duration::ZERO).await;
    let source = &stage.running.source;
    source.evacuate("dc-1");
    wait_for_update().await;
    let with = source.newest();
    source.end_evacuation("dc-1");
    wait_for_update().await;
    source.restore_copy(with);
    wait_for_update().await;
    source.fail_once_with_history_lost();
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [REQUESTS, 0], "it has ended");
}

/// Guards against an evacuation that ends at such a later full state.
#[tokio::test]
async fn an_evacuation_that_a_copy_lacks_outlasts_a_later_full_state() {
    let stage = start_stage(Duration::ZERO).await;
    let source = &stage.running.source;
    let without = source.newest();
    source.evacuate("dc-1");
    wait_for_update().await;
    source.restore_copy(without);
    wait_for_update().await;
    source.fail_once_with_history_lost();
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [0, REQUESTS], "it goes on");
}

/// Guards against an unreadable record that begins or ends an evacuation.
#[tokio::test]
async fn an_unreadable_record_changes_nothing() {
    let stage = start_stage(Duration::ZERO).await;
    stage.running.source.corrupt_evacuation("dc-1");
    stage.running.source.evacuate("no-such-data-centre");
    wait_for_update().await;
    assert_eq!(stage.request_counts().await, [REQUESTS, 0]);
    stage.running.source.evacuate("dc-1");
    wait_for_update().await;
    stage.running.source.corrupt_evacuation("dc-1");
    stage.running.source.fail_once_with_history_lost();
    wait_for_update().await;
    assert_eq!(
        stage.request_counts().await,
        [0, REQUESTS],
        "it stays evacuated"
    );
}

/// Guards against records that arrive out of order.
#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let data_centre = DataCentreId::from("dc-1");
    let mut evacuations = Evacuations::default();
    assert!(evacuations.begin(&data_centre, Revision(5)));
    assert!(!evacuations.end(&data_centre, Revision(4)));
    assert!(evacuations.contains(&data_centre));
    let no_records = HashSet::new();
    assert!(
        evacuations
            .ended_in_full_state(&no_records, Revision(0), Revision(4))
            .is_empty()
    );
    assert_eq!(
        evacuations
            .ended_in_full_state(&no_records, Revision(0), Revision(5))
            .len(),
        1
    );
    assert!(evacuations.end(&data_centre, Revision(6)));
    assert!(!evacuations.begin(&data_centre, Revision(5)));
    assert!(!evacuations.contains(&data_centre));
}
