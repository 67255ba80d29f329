//! Settings of ejection and return of engines.

/// When an engine is taken out, and how it comes back.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineHealthConfig {
    /// An engine this many times slower than its peers' median counts as slow.
    pub slow_factor: f64,
    /// Checks in a row that must find it slow.
    pub slow_checks: u32,
    /// Refusals of work, without tokens between them, that take an engine out.
    pub refusals: u32,
    /// How often engines are compared.
    pub check_every_ms: u64,
    /// The largest part of a pool that may be out for slowness.
    pub max_ejected_share: f64,
    /// How long an engine stays out the first time; doubled each time.
    pub eject_ms: u64,
    /// The longest time out.
    pub max_eject_ms: u64,
    /// Tokens at normal speed that end the probation.
    pub probation_tokens: u64,
    /// Slots during probation.
    pub probation_slots: u32,
    /// A running engine that gives no token for this many times its usual gap is silent.
    pub silence_factor: f64,
    /// How often a running attempt reports, at the latest.
    pub report_every_ms: u64,
    /// Silence shorter than this never counts.
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
