//! Follows the configuration in the platform's key-value service.

use crate::context::Context;
use crate::modules::config_in_force::InForce;
use crate::{event, events::Event};
use bridgevane_adapters::{KeyValue, KvError, KvValue, Revision};
use bridgevane_config::Envelope;
use bridgevane_types::DurationMs;
use std::sync::Arc;

/// The key under which the platform's service holds the configuration.
pub const CONFIG_KEY: &str = "bridgevane/config";
/// How long one watch waits.
const WATCH_MS: DurationMs = DurationMs(30_000);
/// Pauses after a failed call, growing and drawn at random up to the last.
const FIRST_PAUSE_MS: u64 = 200;
/// The longest pause.
const MAX_PAUSE_MS: u64 = 10_000;

/// Follows until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut after = Revision(0);
    let mut pause_ms = FIRST_PAUSE_MS;
    let mut is_away = false;
    loop {
        context.metrics.platform_call("watch");
        match context.platform.watch(CONFIG_KEY, after, WATCH_MS).await {
            Ok(value) => {
                if is_away {
                    event!(Event::PlatformBack);
                }
                is_away = false;
                pause_ms = FIRST_PAUSE_MS;
                if let Some(value) = value {
                    after = value.revision;
                    take(&context, &value);
                }
            }
            Err(error) => {
                if !is_away {
                    event!(Event::PlatformAway, cause = error);
                }
                is_away = true;
                pause(&error, pause_ms).await;
                pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
            }
        }
    }
}

/// Waits a random time: daemons that lost the service together must not return together.
async fn pause(error: &KvError, pause_ms: u64) {
    let least_ms = match error {
        KvError::RateLimited { retry_after_ms } => retry_after_ms.0,
        _ => 0,
    };
    let drawn_ms = least_ms + rand::random_range(pause_ms / 2..=pause_ms);
    tokio::time::sleep(DurationMs(drawn_ms).as_std()).await;
}

fn take(context: &Arc<Context>, value: &KvValue) {
    match Envelope::parse(&value.text) {
        Ok(envelope) => put_in_force(context, InForce::new(envelope.version, envelope.document)),
        Err(error) => event!(Event::ConfigRejected, cause = error),
    }
}

/// Puts a version in force if it is newer, and tells the pools.
pub fn put_in_force(context: &Arc<Context>, next: InForce) {
    let version = next.version;
    if !context.in_force.advance(next) {
        return;
    }
    event!(Event::ConfigInForce, version = version);
    if let Some(in_force) = context.in_force.load() {
        context.pools.follow(context, &in_force);
    }
}
