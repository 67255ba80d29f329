//! Settings of the ejection and return of engines.

/// Settings of the ejection, probation and return of engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineHealthConfig {
    /// The multiple of the peers' median time between tokens above which an engine counts as slow.
    pub slow_factor: f64,
    /// The number of consecutive slow checks that eject an engine.
    pub slow_checks: u32,
    /// The number of refused requests or broken streams, without tokens at normal speed between
    /// them, that ejects an engine.
    pub refusals: u32,
    /// The interval at which engines are checked (ms).
    pub check_every_ms: u64,
    /// The maximum share of a pool's engines that may be out of use when one is ejected for
    /// slowness.
    pub max_ejected_share: f64,
    /// The duration of the first ejection (ms); each further one in a row lasts twice as long.
    pub eject_ms: u64,
    /// The maximum duration of an ejection (ms).
    pub max_eject_ms: u64,
    /// The number of tokens at normal speed that ends the probation.
    pub probation_tokens: u64,
    /// The number of slots in use during probation.
    pub probation_slots: u32,
    /// The multiple of the usual gap without a token after which an engine counts as silent.
    pub silence_factor: f64,
    /// The maximum interval between reports of a running attempt (ms).
    pub report_every_ms: u64,
    /// The minimum time without a token (ms) that counts as silence.
    pub min_silence_ms: u64,
}

impl Default for EngineHealthConfig {
    fn default() -> Self {
        Self {
            slow_factor: 3.0,
            slow_checks: 2,
            refusals: 2,
            check_every_ms: 100,
            max_ejected_share: 0.34,
            eject_ms: 5_000,
            max_eject_ms: 60_000,
            probation_tokens: 32,
            probation_slots: 1,
            silence_factor: 5.0,
            report_every_ms: 1_000,
            min_silence_ms: 400,
        }
    }
}
