//! Follows the configuration in the platform's key-value service, where this daemon is one
//! of its data centre's watchers. The others get it from their peers.

use crate::modules::serve::configuration::accept;
use crate::modules::serve::context::Context;
use bridgevane_adapters::{KeyValue, KvRevision, KvValue};
use bridgevane_config::Envelope;
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use std::sync::Arc;
use std::time::Duration;

/// The key under which the platform's service holds the configuration.
pub const CONFIG_KEY: &str = "bridgevane/config";
/// How long one watch waits. Not measured, chosen because a waiting watch counts as one call,
/// whatever its length.
const WATCH_MS: DurationMs = DurationMs(30_000);
/// How often it is looked whether this daemon is a watcher, or may call again. Not measured, chosen
/// because a watcher that died must be replaced within the 5 s of a change.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Follows until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut after = KvRevision(0);
    loop {
        let is_due = context.members.is_watcher() && context.replica.may_call(context.now());
        if !is_due {
            tokio::time::sleep(LOOK_EVERY).await;
            continue;
        }
        context.metrics.platform_call("watch");
        match context.platform.watch(CONFIG_KEY, after, WATCH_MS).await {
            Ok(value) => {
                context.replica.call_succeeded();
                if let Some(value) = value {
                    after = value.revision;
                    take(&context, &value);
                }
                context.replica.note_contact();
            }
            Err(error) => context.replica.call_failed(context.now(), &error),
        }
    }
}

fn take(context: &Arc<Context>, value: &KvValue) {
    match Envelope::parse(&value.text) {
        Ok(envelope) => {
            accept::accept_document(context, envelope.version, envelope.document);
        }
        Err(error) => event!(Event::ConfigRejected, cause = error),
    }
}
