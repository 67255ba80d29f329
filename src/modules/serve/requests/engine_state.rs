//! When an attempt broke off: has its engine ended?
//!
//! A broken stream may be a lost connection; an engine that takes no new one has ended. The attempt's
//! report waits for the answer, which costs a lost attempt one round trip, so that the pool knows
//! what a request does to engines before it sends the request to the next one.

use crate::modules::serve::pools::endpoint_link::EndpointLink;
use bridgevane_adapters::{EngineCallError, ModelEngine, PlainCallError, PlainService};
use bridgevane_decisions::AttemptEnd;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long the question may take. Not measured, chosen because an engine that has ended refuses after
/// one round trip; silence proves nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause before an engine whose answer broke off is asked again. Not measured by itself: an engine
/// that ends closes its connections one after the other, and asked once it was taken for alive in one of
/// four runs of the test.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// The end of an attempt at a model engine, with what became of the engine.
pub(super) async fn with_state_of_model(engine: &EndpointLink, end: AttemptEnd) -> AttemptEnd {
    with_state(end, || async {
        match engine.model.load().await {
            Ok(_) | Err(EngineCallError::Unavailable) => EngineState::Alive,
            Err(EngineCallError::NotReached) => EngineState::Ended,
            Err(_) => EngineState::Unclear,
        }
    })
    .await
}

/// The end of an attempt at a plain service, with what became of its worker.
pub(super) async fn with_state_of_plain(worker: &EndpointLink, end: AttemptEnd) -> AttemptEnd {
    with_state(end, || async {
        match worker.plain.load().await {
            Ok(_) => EngineState::Alive,
            Err(PlainCallError::NotReached) => EngineState::Ended,
            Err(PlainCallError::Unknown) => EngineState::Unclear,
        }
    })
    .await
}

/// What one question to an engine says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineState {
    Alive,
    Ended,
    /// The answer broke off.
    Unclear,
}

async fn with_state<F>(end: AttemptEnd, ask: impl Fn() -> F) -> AttemptEnd
where
    F: Future<Output = EngineState>,
{
    let AttemptEnd::Lost { delivered } = end else {
        return end;
    };
    let asking = async {
        loop {
            match ask().await {
                EngineState::Unclear => sleep(ASK_AGAIN).await,
                state => return state,
            }
        }
    };
    match timeout(CHECK_TIMEOUT, asking).await {
        Ok(EngineState::Ended) => AttemptEnd::EngineCrashed { delivered },
        _ => end,
    }
}
