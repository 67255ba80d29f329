//! Whether an endpoint announces that it is brittle, and when it last turned a request away.
//!
//! The rule is [`crate::decisions::eligibility::brittle`]; permits are kept as those of a limit.

use crate::clock::AtomicTime;
use crate::decisions::eligibility::brittle::{BrittleLoad, has_room};
use crate::endpoints::rate_limit::RateLimitState;
use bridgevane_types::{DurationMs, TimeMs};

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

    /// Returns whether it turned a request of this daemon away, and when it last did.
    pub(crate) fn turned_away_at(&self) -> Option<TimeMs> {
        self.turned_away_at.get()
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn admits(&self, now: TimeMs, load: BrittleLoad) -> bool {
        !self.permits.is_limited() || has_room(now, load) || self.permits.admits(now, load.daemons)
    }

    /// Uses a permit for a request if it needs one; returns false if another request used it.
    pub(crate) fn try_acquire(&self, now: TimeMs, load: BrittleLoad) -> bool {
        !self.permits.is_limited()
            || has_room(now, load)
            || self.permits.try_acquire(now, load.daemons)
    }

    /// Returns the time until a request may be sent; `None` if one may be sent now.
    pub(crate) fn wait_time(&self, now: TimeMs, load: BrittleLoad) -> Option<DurationMs> {
        if !self.permits.is_limited() || has_room(now, load) {
            return None;
        }
        self.permits.wait_time(now, load.daemons)
    }
}
