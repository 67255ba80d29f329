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

impl Default for ServingConfig {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            body_timeout_ms: DurationMs(10_000),
            max_buffered_pieces: 1_024,
            slow_reader_timeout_ms: DurationMs(10_000),
            default_max_tokens: 1_024,
            poll_every_ms: DurationMs(5_000),
            poll_without_home_ms: DurationMs(500),
            polls_per_cache_read: 2,
            tick_every_ms: DurationMs(20),
            progress_tokens: 32,
            progress_ms: DurationMs(1_000),
            slow_gap_ms: DurationMs(150),
            max_decisions: 20_000,
            drain_ms: DurationMs(3_600_000),
        }
    }
}
