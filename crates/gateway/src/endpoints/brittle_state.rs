//! Whether an endpoint announces that it is brittle, and when it last turned a request away.
//!
//! The rule is [`crate::decisions::eligibility::brittle`]; permits are kept as those of a limit.

use crate::clock::AtomicTime;
use crate::endpoints::rate_limit::RateLimitState;
use bridgevane_types::TimeMs;

/// The state of one endpoint.
#[derive(Debug, Default)]
pub struct BrittleState {
    /// The rate of permits for requests that may be turned away; there is one while the endpoint
    /// announces that it is brittle.
    pub permits: RateLimitState,
    turned_away_at: AtomicTime,
}

impl BrittleState {
    /// Records that it turned a request of this daemon away.
    pub(crate) fn on_turned_away(&self, now: TimeMs) {
        self.turned_away_at.set_if_later(now);
    }

    /// Returns when it last turned a request of this daemon away.
    pub(crate) fn turned_away_at(&self) -> Option<TimeMs> {
        self.turned_away_at.get()
    }
}
