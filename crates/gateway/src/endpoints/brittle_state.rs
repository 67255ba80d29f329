//! Whether an endpoint announces that it is brittle, and whether it is full.
//!
//! The rule is [`crate::decisions::eligibility::brittle`]; permits are kept as those of a limit.

use crate::clock::AtomicTime;
use crate::decisions::eligibility::brittle::Fullness;
use crate::endpoints::rate_limit::RateLimitState;
use bridgevane_types::{DurationMs, TimeMs};

/// The longest time that a report takes between two daemons, by which its observations appear later.
const MAX_REPORT_DELAY: DurationMs = DurationMs(100);

/// The state of one endpoint.
#[derive(Debug, Default)]
pub struct BrittleState {
    /// The rate of permits for requests that may be turned away; there is one while the endpoint
    /// announces that it is brittle.
    pub permits: RateLimitState,
    turned_away_at: AtomicTime,
    had_room_at: AtomicTime,
}

impl BrittleState {
    /// Records that it turned a request of this daemon away.
    pub(crate) fn on_turned_away(&self, now: TimeMs) {
        self.turned_away_at.set_if_later(now);
    }

    /// Records that it ran a request of this daemon that was sent at `sent_at`.
    pub(crate) fn on_run(&self, sent_at: TimeMs) {
        self.had_room_at.set_if_later(sent_at);
    }

    /// Records the observations of another daemon. One that is hardly later than what is known here is
    /// the same, which got less exact on its way.
    pub(crate) fn on_peer_observation(&self, observed: Fullness) {
        let known = self.fullness();
        let is_later = |observed: TimeMs, known: Option<TimeMs>| {
            known.is_none_or(|known| observed > known + MAX_REPORT_DELAY)
        };
        if let Some(at) = observed.turned_away_at
            && is_later(at, known.turned_away_at)
        {
            self.turned_away_at.set_if_later(at);
        }
        if let Some(at) = observed.had_room_at
            && is_later(at, known.had_room_at)
        {
            self.had_room_at.set_if_later(at);
        }
    }

    /// Returns the newest observations.
    pub(crate) fn fullness(&self) -> Fullness {
        Fullness {
            turned_away_at: self.turned_away_at.get(),
            had_room_at: self.had_room_at.get(),
        }
    }
}
