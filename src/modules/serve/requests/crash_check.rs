//! Checks after a lost attempt whether its engine has crashed.
//!
//! A broken stream may be a lost connection; an engine that refuses new connections has crashed.
//! The attempt's report waits for this check, which costs a lost attempt one round trip, so that
//! the pool knows whether a request crashes engines before it sends the request to the next one.

use crate::modules::serve::pools::endpoint_link::EndpointLink;
use bridgevane_adapters::{EngineCallError, ModelEngine, PlainCallError, PlainService};
use bridgevane_decisions::AttemptEnd;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time limit of the check: a crashed engine refuses connections after one round trip, and
/// silence proves nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause before a check with an unclear result is repeated. A crashing engine closes
/// its connections one after the other: with a single check it was considered alive in one of four
/// runs of the test.
const RECHECK_PAUSE: Duration = Duration::from_millis(20);

/// Returns `end`, changed to a crash of the model engine if the check shows one.
pub(super) async fn with_model_engine_state(engine: &EndpointLink, end: AttemptEnd) -> AttemptEnd {
    with_engine_state(end, || async {
        match engine.model.load().await {
            Ok(_) | Err(EngineCallError::Unavailable) => EngineState::Alive,
            Err(EngineCallError::NotReached) => EngineState::Crashed,
            Err(_) => EngineState::Unclear,
        }
    })
    .await
}

/// Returns `end`, changed to a crash of the plain service's worker if the check shows one.
pub(super) async fn with_plain_worker_state(worker: &EndpointLink, end: AttemptEnd) -> AttemptEnd {
    with_engine_state(end, || async {
        match worker.plain.load().await {
            Ok(_) => EngineState::Alive,
            Err(PlainCallError::NotReached) => EngineState::Crashed,
            Err(PlainCallError::Unknown) => EngineState::Unclear,
        }
    })
    .await
}

/// The result of one check of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineState {
    Alive,
    Crashed,
    /// The engine accepted the connection, but sent no usable answer.
    Unclear,
}

async fn with_engine_state<F>(end: AttemptEnd, check: impl Fn() -> F) -> AttemptEnd
where
    F: Future<Output = EngineState>,
{
    let AttemptEnd::Lost { delivered } = end else {
        return end;
    };
    let checking = async {
        loop {
            match check().await {
                EngineState::Unclear => sleep(RECHECK_PAUSE).await,
                state => return state,
            }
        }
    };
    match timeout(CHECK_TIMEOUT, checking).await {
        Ok(EngineState::Crashed) => AttemptEnd::EngineCrashed { delivered },
        _ => end,
    }
}
