//! Watches the configuration in the platform's key-value service while this daemon is one of its
//! data centre's watchers. The other daemons get the configuration from their peers.

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
/// The longest time for which one watch call waits. A watch counts as one call, whatever its
/// length.
const WATCH_MS: DurationMs = DurationMs(30_000);
/// The interval at which a daemon checks whether it has become a watcher, or may call the platform
/// again. A watcher that died must be replaced within the 5 s that a change may take.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Watches the configuration until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut after = KvRevision(0);
    loop {
        let is_due =
            context.members.is_watcher() && context.replica.try_acquire_call(context.now());
        if !is_due {
            tokio::time::sleep(RECHECK_INTERVAL).await;
            continue;
        }
        context.metrics.count_platform_call("watch");
        match context.platform.watch(CONFIG_KEY, after, WATCH_MS).await {
            Ok(value) => {
                context.replica.call_succeeded();
                if let Some(value) = value {
                    after = value.revision;
                    accept_value(&context, &value);
                }
                context.replica.note_contact();
            }
            Err(error) => context.replica.call_failed(context.now(), &error),
        }
    }
}

fn accept_value(context: &Arc<Context>, value: &KvValue) {
    match Envelope::parse(&value.text) {
        Ok(envelope) => {
            accept::accept_document(context, envelope.version, envelope.document);
        }
        Err(error) => event!(Event::ConfigRejected, cause = error),
    }
}
