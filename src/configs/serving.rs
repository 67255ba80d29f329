//! Settings of request handling.

use bridgevane_types::DurationMs;

/// Limits and intervals of request handling.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// The maximum size of a request's body.
    pub max_body_bytes: usize,
    /// The time in which a caller must send its whole body.
    pub body_timeout_ms: DurationMs,
    /// The maximum number of an answer's tokens that are buffered for a slow caller.
    pub max_buffered_pieces: usize,
    /// The time after which a caller that reads nothing is disconnected.
    pub slow_reader_timeout_ms: DurationMs,
    /// The maximum length of an answer if the caller sets none.
    pub default_max_tokens: u64,
    /// The interval of reading load reports. The home of a pool knows its own work exactly; the
    /// reports show the work of others, which exists only while two daemons decide.
    pub poll_every_ms: DurationMs,
    /// The interval of reading load reports while a home is bypassed: other daemons then decide on
    /// the same engines.
    pub poll_without_home_ms: DurationMs,
    /// Cache events are read once per this number of load reports. The daemon knows what it sent,
    /// so that cache events add little except evictions.
    pub polls_per_cache_read: u64,
    /// The interval at which pools handle timeouts.
    pub tick_every_ms: DurationMs,
    /// The number of tokens after which an attempt reports its progress to the pool.
    pub progress_tokens: u64,
    /// The time after which the next token is reported to the pool even if fewer tokens have
    /// arrived.
    pub progress_ms: DurationMs,
    /// The length of a gap between two tokens that is reported to the pool at once.
    pub slow_gap_ms: DurationMs,
    /// The number of decisions that are kept for `explain request`.
    pub max_decisions: usize,
    /// The time for which a planned stop waits for streams to end.
    pub drain_ms: DurationMs,
}

/// The default of `body_timeout_ms`: a caller on a slow link sends 4 MB in about this time.
const BODY_TIMEOUT: DurationMs = DurationMs(10_000);
/// The default of `slow_reader_timeout_ms`: a caller that reads nothing for this time is gone.
const SLOW_READER_TIMEOUT: DurationMs = DurationMs(10_000);
/// The default of `poll_every_ms`, which costs 135 B/s per engine on the wire. See
/// docs/CAPACITY.md.
const POLL_EVERY: DurationMs = DurationMs(5_000);
/// The default of `poll_without_home_ms`: the reports are then the only information on the requests
/// of other daemons. See docs/design/01.
const POLL_WITHOUT_HOME: DurationMs = DurationMs(500);
/// The default of `tick_every_ms`, which takes 0.07 % of a core at the size that the product is
/// designed for. See docs/CAPACITY.md.
const TICK_EVERY: DurationMs = DurationMs(20);
/// The default of `progress_ms`: with reports every 32 tokens or every second, the frames between
/// daemons take 267 B per request of 20 tokens. See docs/BENCHMARKS.md.
const PROGRESS_EVERY: DurationMs = DurationMs(1_000);
/// The default of `slow_gap_ms`: about three times the 46 ms between tokens that the product is
/// designed for.
const SLOW_GAP: DurationMs = DurationMs(150);
/// The default of `drain_ms`: long enough that no stream is cut; the platform ends the process
/// earlier.
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
