//! Polls the engines of a pool for load reports and cache events.

use crate::modules::serve::context::Context;
use crate::modules::serve::pools::endpoint_link::EndpointLink;
use crate::modules::serve::pools::handle::PoolMessage;
use crate::modules::serve::pools::homes;
use bridgevane_adapters::{EngineCallError, LoadReport, ModelEngine, PlainCallError, PlainService};
use bridgevane_config::ServiceKind;
use bridgevane_events::{Event, event};
use bridgevane_types::{ConfigVersion, ServiceName};
use derive_more::{Display, Error, From};
use futures_util::future::join_all;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The state of one engine between polls.
struct PolledEngine {
    link: Arc<EndpointLink>,
    kind: ServiceKind,
    cache_sequence: u64,
    is_reachable: bool,
}

/// Polls the engines until the pool ends.
pub async fn run(context: Arc<Context>, service: ServiceName, messages: mpsc::Sender<PoolMessage>) {
    let mut version = ConfigVersion(0);
    let mut polled: Vec<PolledEngine> = Vec::new();
    let mut polls = 0;
    while !messages.is_closed() {
        if let Some(in_force) = context.in_force.load()
            && in_force.version > version
        {
            version = in_force.version;
            polled = engines_to_poll(&context, &service, polled);
        }
        let serving = &context.config.serving;
        // Only the daemon that decides for the pool polls: engines are polled by one daemon.
        if !homes::is_home(&context, &service) {
            tokio::time::sleep(serving.poll_without_home_ms.as_std()).await;
            continue;
        }
        let reads_cache = polls % context.config.serving.polls_per_cache_read == 0;
        polls += 1;
        join_all(
            polled
                .iter_mut()
                .map(|engine| poll(engine, &messages, reads_cache)),
        )
        .await;
        let pause_ms = match homes::is_sole_home(&context, &service) {
            true => serving.poll_every_ms,
            false => serving.poll_without_home_ms,
        };
        tokio::time::sleep(pause_ms.as_std()).await;
    }
}

/// Returns the engines to poll in the configuration in force, with the state of known ones.
fn engines_to_poll(
    context: &Context,
    service: &ServiceName,
    known: Vec<PolledEngine>,
) -> Vec<PolledEngine> {
    let Some(in_force) = context.in_force.load() else {
        return known;
    };
    let Some(config) = in_force.document.service.get(service) else {
        return known;
    };
    let mut known = known;
    let mut polled = Vec::new();
    for (name, engine) in &config.engine {
        if engine.data_centre != context.config.data_centre {
            continue;
        }
        let same =
            |old: &PolledEngine| old.link.name == *name && old.link.address == engine.address;
        let entry = match known.iter().position(same) {
            Some(found) => known.swap_remove(found),
            None => PolledEngine {
                link: Arc::new(EndpointLink::new(name.clone(), engine.address)),
                kind: config.kind,
                cache_sequence: 0,
                is_reachable: true,
            },
        };
        polled.push(entry);
    }
    polled
}

/// An error of reading a load report.
#[derive(Clone, Copy, Debug, Display, Error, From)]
enum LoadError {
    #[display("{_0}")]
    Engine(EngineCallError),
    #[display("{_0}")]
    Plain(PlainCallError),
}

async fn read_load(polled: &PolledEngine) -> Result<LoadReport, LoadError> {
    Ok(match polled.kind {
        ServiceKind::Model => polled.link.model.load().await?,
        ServiceKind::Plain => polled.link.plain.load().await?,
    })
}

async fn poll(polled: &mut PolledEngine, messages: &mpsc::Sender<PoolMessage>, reads_cache: bool) {
    match read_load(polled).await {
        Ok(report) => {
            polled.is_reachable = true;
            let message = PoolMessage::Load {
                engine: polled.link.name.clone(),
                busy: report.running.0 + report.waiting.0,
                age_ms: report.age_ms,
            };
            // This fails only if the pool has ended; then this task ends too.
            let _ = messages.send(message).await;
        }
        Err(error) => {
            if polled.is_reachable {
                event!(
                    Event::EngineUnreachable,
                    engine = polled.link.name,
                    cause = error
                );
            }
            polled.is_reachable = false;
            return;
        }
    }
    if !reads_cache || polled.kind != ServiceKind::Model {
        return;
    }
    let Ok(events) = polled.link.model.cache_events(polled.cache_sequence).await else {
        return;
    };
    if let Some(last) = events.last() {
        polled.cache_sequence = last.sequence;
        let name = polled.link.name.clone();
        // This fails only if the pool has ended; then this task ends too.
        let _ = messages.send(PoolMessage::Cache(name, events)).await;
    }
}
