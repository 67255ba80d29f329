//! Back-off: an endpoint that rejects a request may ask this daemon to send nothing for a time.
//!
//! Inputs: the back-off that the endpoint's answers ask for, and the permits of an endpoint that
//! announces a limit.
//!
//! Rules:
//! 1. During a back-off no request goes to the endpoint: no first attempt, retry, hedge or
//!    resumption of a stream. A longer back-off replaces a shorter one; nothing ends it early.
//! 2. A lack of other endpoints doesn't end it. If no endpoint accepts the request, it is refused,
//!    and the client gets the time until the first of them does.
//! 3. If an endpoint may get the request now, the client gets the usual retry time instead.
//!
//! Reason: a request sent during a back-off is rejected at once. It costs the endpoint work, a
//! retry of the budget, and a part of the client's time.
//!
//! Tests: `endpoint_backoff.rs`.

use bridgevane_types::DurationMs;

/// The longest wait for a permit that is sent to a client: another daemon may have a permit sooner.
const MAX_SENT_PERMIT_WAIT: DurationMs = DurationMs(1_000);

/// The reasons why an endpoint may not get a request now, and for how long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointWait {
    /// The remaining back-off; `None` if there is none.
    pub backoff: Option<DurationMs>,
    /// The time until this daemon's next permit; `None` if the endpoint announces no limit.
    pub permit: Option<DurationMs>,
}

/// Returns the time until one of the endpoints may get a request that is retried; `None` if one of
/// them may get it now, or there is none.
pub fn time_until_available(waits: impl Iterator<Item = EndpointWait>) -> Option<DurationMs> {
    let waits = waits.map(|wait| {
        let permit = wait.permit.map(|permit| permit.min(MAX_SENT_PERMIT_WAIT));
        wait.backoff.max(permit).unwrap_or_default()
    });
    waits.min().filter(|wait| *wait > DurationMs(0))
}
