//! Engine rates: how many tokens a service's engines read, and how many they fetch from each other.
//!
//! Inputs: for each prompt the number of its own tokens, the time to the first token and the pace of
//! the engine ([`super::engine_pace`]); the size of a cached token and the link of an engine, from
//! the configuration.
//!
//! Rules:
//! - The read rate is the highest one that a prompt showed within `READ_RATE_WINDOW`; until there is
//!   one, `READ_RATE_PRIOR`.
//! - Only the prompt's own tokens count, since no engine has them cached, and only prompts of
//!   `MIN_MEASURED_TOKENS` or more: with fewer, the first step takes most of the time.
//! - The fetch rate is what the link carries; without one in the configuration,
//!   `FETCH_RATE_PRIOR`.
//!
//! Reason: a prompt that waits or shares its engine shows a lower rate than the engine's, never a
//! higher one.
//!
//! Tests: `engine_pace.rs`.

use super::engine_pace::Pace;
use bridgevane_types::{DurationMs, TokensPerSecond};

/// How long the highest read rate counts: engines of a service are replaced by others in minutes.
pub const READ_RATE_WINDOW: DurationMs = DurationMs(30_000);
/// The read rate before one was measured.
const READ_RATE_PRIOR: TokensPerSecond = TokensPerSecond(50_000.0);
/// The fetch rate of a service whose configuration has no link.
const FETCH_RATE_PRIOR: TokensPerSecond = TokensPerSecond(250_000.0);
/// The rates that count as measured, as factors of the prior. A faster one is an answer that didn't
/// read the prompt; a slower one is a prompt that waited, which would count for long on a daemon with
/// few prompts.
const MEASURED_FACTORS: std::ops::RangeInclusive<f64> = 0.25..=8.0;
/// The smallest number of own tokens that shows a rate.
const MIN_MEASURED_TOKENS: u64 = 2_000;
/// The number of milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The rates of a service's engines at the usual pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// The prompt tokens that an engine reads.
    pub read: TokensPerSecond,
    /// The cached tokens that an engine fetches from another one.
    pub fetch: TokensPerSecond,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            read: READ_RATE_PRIOR,
            fetch: FETCH_RATE_PRIOR,
        }
    }
}

impl EngineRates {
    /// Returns the time that an engine takes to read prompt tokens, in milliseconds.
    pub(crate) fn read_ms(&self, tokens: f64, pace: Pace) -> f64 {
        tokens * MS_PER_S / self.read.0 * pace.0
    }

    /// Returns the time that an engine takes to fetch cached tokens, in milliseconds.
    pub(crate) fn fetch_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * MS_PER_S / self.fetch.0
    }
}

/// Returns the read rate that a prompt showed, in tokens per second at the usual pace; `None` if it
/// shows none.
pub fn measured_read_rate(own_tokens: u64, first_token: DurationMs, pace: Pace) -> Option<u64> {
    if own_tokens < MIN_MEASURED_TOKENS || first_token.0 == 0 {
        return None;
    }
    let rate = own_tokens as f64 * MS_PER_S / first_token.0 as f64 * pace.0;
    let is_plausible = MEASURED_FACTORS.contains(&(rate / READ_RATE_PRIOR.0));
    is_plausible.then_some(rate as u64)
}
