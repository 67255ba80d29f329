//! Settings of the path of a request.

use bridgevane_types::DurationMs;

/// Bounds and intervals of the path of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// The largest body of a caller's request.
    pub max_body_bytes: usize,
    /// Time for a caller to send its whole body.
    pub body_timeout_ms: DurationMs,
    /// Pieces that wait for a caller that reads slowly.
    pub max_buffered_pieces: usize,
    /// A caller that reads nothing for this long is let go.
    pub slow_reader_timeout_ms: DurationMs,
    /// The longest answer when the caller names none.
    pub default_max_tokens: u64,
    /// How often load reports are read. The home of a pool knows its own work exactly; reports
    /// tell of others' work, which there is only while two daemons decide.
    pub poll_every_ms: DurationMs,
    /// The same where a home was passed over: others decide on the same engines meanwhile.
    pub poll_without_home_ms: DurationMs,
    /// Cache events are read with every so many load reports: what was sent is known here, so
    /// that they tell of little but evictions.
    pub polls_per_cache_read: u64,
    /// How often pools act on the passing of time.
    pub tick_every_ms: DurationMs,
    /// A report of progress to the pool covers this many tokens at most...
    pub progress_tokens: u64,
    /// ...and this much time...
    pub progress_ms: DurationMs,
    /// ...and is made at once when a token comes so long after the one before.
    pub slow_gap_ms: DurationMs,
    /// Decisions that are remembered for `explain request`.
    pub max_decisions: usize,
    /// How long a planned stop waits for streams to end.
    pub drain_ms: DurationMs,
}

/// Not measured, chosen because a caller on a slow link sends 4 MB in about as long.
const BODY_TIMEOUT: DurationMs = DurationMs(10_000);
/// Not measured, chosen because a caller that reads nothing for so long is gone.
const SLOW_READER_TIMEOUT: DurationMs = DurationMs(10_000);
/// Measured: 135 B/s an engine on the wire (docs/CAPACITY.md).
const POLL_EVERY: DurationMs = DurationMs(5_000);
/// Not measured, chosen because reports then are all that is known of others' requests
/// (docs/design/01).
const POLL_WITHOUT_HOME: DurationMs = DurationMs(500);
/// Measured: 0.07 % of a core at the size to design for (docs/CAPACITY.md).
const TICK_EVERY: DurationMs = DurationMs(20);
/// Measured: every 32 tokens or second, frames between daemons 267 B a request of 20 tokens
/// (docs/BENCHMARKS.md).
const PROGRESS_EVERY: DurationMs = DurationMs(1_000);
/// Not measured, chosen because it is three times the 46 ms between tokens to design for.
const SLOW_GAP: DurationMs = DurationMs(150);
/// Chosen because no stream is cut: the platform ends the process before.
const MAX_DRAIN: DurationMs = DurationMs(3_600_000);

impl Default for ServingConfig {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            body_timeout_ms: BODY_TIMEOUT,
            max_buffered_pieces: 1_024,
            slow_reader_timeout_ms: SLOW_READER_TIMEOUT,
            default_max_tokens: 1_024,
            poll_every_ms: POLL_EVERY,
            poll_without_home_ms: POLL_WITHOUT_HOME,
            polls_per_cache_read: 2,
            tick_every_ms: TICK_EVERY,
            progress_tokens: 32,
            progress_ms: PROGRESS_EVERY,
            slow_gap_ms: SLOW_GAP,
            max_decisions: 20_000,
            drain_ms: MAX_DRAIN,
        }
    }
}
