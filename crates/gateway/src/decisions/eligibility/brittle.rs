//! Brittle endpoints: an endpoint announces how many requests it can turn away in a second, from all
//! daemons together, before it crashes.
//!
//! Inputs: the announced number, the endpoint's slots, the number of daemons, the requests that run
//! there, and when it last turned one of this daemon's requests away.
//!
//! Rules:
//! - A request that the endpoint has room for is sent as usual: fewer of this daemon's requests run
//!   there than its share of the slots, fewer of all daemons' than there are slots, and it turned
//!   none away within `TURNED_AWAY_MEMORY`. Where there are more daemons than slots, at most half of
//!   the slots may be taken.
//! - Any other request may be turned away and needs a permit. Permits of all daemons together come at
//!   `PERMIT_SHARE` of the announced number, shared as a [`super::rate_limit`] is.
//! - The number holds until an answer no longer announces it, as a limit does.
//!
//! Reason: daemons don't know in time what the others send. Shares of the slots add up to the slots,
//! so that a burst at every daemon at once still finds room; permits keep what is sent beyond them
//! below the number even if the permits of several daemons fall into the same second.
//!
//! Tests: `brittle_endpoint.rs`.

use bridgevane_types::{DurationMs, RequestsPerSecond, TimeMs};

/// The share of the announced number at which permits are planned.
const PERMIT_SHARE: f64 = 1.0 / 3.0;
/// For how long an endpoint that turned a request away counts as full.
const TURNED_AWAY_MEMORY: DurationMs = DurationMs(1_000);

/// Returns the rate of permits of all daemons together.
pub(crate) fn permit_rate(max_turned_away: RequestsPerSecond) -> RequestsPerSecond {
    RequestsPerSecond(max_turned_away.0 * PERMIT_SHARE)
}

/// What a daemon knows of the room at a brittle endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrittleLoad {
    /// The requests that it runs at once.
    pub slots: u32,
    /// The number of daemons; `None` if this daemon doesn't know it.
    pub daemons: Option<u32>,
    /// This daemon's requests there.
    pub own_running: u32,
    /// The requests of all daemons there.
    pub running: u32,
    /// When it last turned a request of this daemon away.
    pub turned_away_at: Option<TimeMs>,
}

/// Returns whether a request is sent without a permit.
pub fn has_room(now: TimeMs, load: BrittleLoad) -> bool {
    let has_turned_away = load
        .turned_away_at
        .is_some_and(|at| now.since(at) < TURNED_AWAY_MEMORY);
    // Without a number of daemons this one assumes that there are many.
    let daemons = load.daemons.unwrap_or(u32::MAX).max(1);
    let (own_share, usable_slots) = if daemons > load.slots {
        (1, load.slots / 2)
    } else {
        (load.slots / daemons, load.slots)
    };
    !has_turned_away && load.own_running < own_share && load.running < usable_slots.max(1)
}
