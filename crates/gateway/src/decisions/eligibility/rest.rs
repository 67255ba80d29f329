//! Rest: an endpoint that turns a request away may want nothing from this daemon for a time.
//!
//! Inputs: the rest that the endpoint's answers ask for, and the turns of an endpoint that names a limit.
//!
//! Rules:
//! 1. While it rests no request goes there: no first try, retry, hedge or rest of a stream. A longer rest goes
//!    before a shorter one; nothing ends it early.
//! 2. No lack of other endpoints takes that back. Where none takes the request it is refused, and the client is told when the first
//!    of them does.
//! 3. A time of which the client can't make use is not told: where an endpoint may take the request now, the usual time
//!    is.
//!
//! Reason: what is sent there is turned away at once. It costs the endpoint work, a retry of the budget, and the caller a part of
//! its time.
//!
//! Tests: `endpoint_rest.rs`.

use bridgevane_types::DurationMs;

/// The longest wait for a turn at an endpoint that names a limit that a client is told: the turn of another daemon may
/// come sooner. Not measured.
const MAX_TOLD_TURN: DurationMs = DurationMs(1_000);

/// What keeps an endpoint from getting a request now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointWait {
    /// How much longer it rests; none: it doesn't.
    pub rest: Option<DurationMs>,
    /// How long it is until this daemon's next turn; none: it names no limit.
    pub turn: Option<DurationMs>,
}

/// How long it is until one of the endpoints may get a request that comes back; none: one of them may now, or there is none.
pub fn earliest_use(waits: impl Iterator<Item = EndpointWait>) -> Option<DurationMs> {
    let waits = waits.map(|wait| {
        let turn = wait.turn.map(|turn| turn.min(MAX_TOLD_TURN));
        wait.rest.max(turn).unwrap_or_default()
    });
    waits.min().filter(|wait| *wait > DurationMs(0))
}
