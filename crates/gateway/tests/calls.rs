//! The number of calls of the control source.

mod support;

use bridgevane_gateway::Repeatability::Idempotent;
use std::time::Duration;
use support::source::{KEY, ScriptedSource, plain_route};
use support::start;

/// Guards against one call of the source for each change when many changes follow each other.
#[tokio::test]
async fn many_changes_in_a_row_take_few_source_calls() {
    let source = ScriptedSource::new();
    source.publish_configuration(1, vec![plain_route("often", Idempotent, 2)], &[KEY]);
    let running = start(source).await;
    let before = running.source.waits();
    for at in 0..40 {
        let address = "127.0.0.1:1".parse().expect("an address");
        running
            .source
            .publish_endpoint(&format!("e-{at}"), "plain", address);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(running.gateway.control.endpoint_count(), 40);
    let calls = running.source.waits() - before;
    assert!(calls <= 8, "{calls} calls for 40 changes");
}
