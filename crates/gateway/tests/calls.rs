//! The source is called sparingly.

mod support;

use bridgevane_gateway::Repeatability::Idempotent;
use std::time::Duration;
use support::source::{KEY, ScriptedSource, plain_route};
use support::start;

#[tokio::test]
async fn a_flock_of_changes_takes_few_calls() {
    let source = ScriptedSource::new();
    source.configure(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let running = start(source).await;
    let before = running.source.waits();
    for at in 0..40 {
        let address = "127.0.0.1:1".parse().expect("an address");
        running
            .source
            .endpoint(&format!("e-{at}"), "plain", address);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(running.gateway.control.endpoint_count(), 40);
    let calls = running.source.waits() - before;
    assert!(calls <= 8, "{calls} calls for 40 changes");
}
