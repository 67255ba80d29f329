//! Brittle endpoints: an endpoint announces how many requests it can turn away in a second, from all
//! daemons together, before it crashes.
//!
//! Inputs: the announced number, the endpoint's slots, the number of daemons, the requests that run
//! there, and whether it is full: the later of the last request that it turned away, and of the sending
//! of the last one that it ran, from any daemon ([`Fullness`], ms of this daemon's clock).
//!
//! Rules:
//! - A request that the endpoint has room for is sent as usual: fewer of this daemon's requests run
//!   there than its share of the slots, fewer of all daemons' than there are slots, and it isn't full.
//!   Where there are more daemons than slots, at most half of the slots may be taken.
//! - A full endpoint is tried with permits alone. It has room again once it has run a request that was
//!   sent after it turned one away; daemons report both to each other. No time ends it.
//! - Any other request may be turned away and needs a permit. Permits of all daemons together come at
//!   `PERMIT_SHARE` of the announced number, shared as a [`super::rate_limit`] is.
//! - The number holds until an answer no longer announces it, as a limit does.
//!
//! Reason: daemons don't know in time what the others send. Shares of the slots add up to the slots,
//! so that a burst at every daemon at once still finds room; permits keep what is sent beyond them
//! below the number even if the permits of several daemons fall into the same second.
//!
//! Tests: `brittle_endpoint.rs`.

use bridgevane_types::{RequestsPerSecond, TimeMs};

/// The share of the announced number at which permits are planned.
const PERMIT_SHARE: f64 = 1.0 / 3.0;

/// Returns the rate of permits of all daemons together.
pub fn permit_rate(max_turned_away: RequestsPerSecond) -> RequestsPerSecond {
    RequestsPerSecond(max_turned_away.0 * PERMIT_SHARE)
}

/// The newest observations of an endpoint's room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fullness {
    /// When it last turned a request away.
    pub turned_away_at: Option<TimeMs>,
    /// When the last request was sent that it had room for.
    pub had_room_at: Option<TimeMs>,
}

impl Fullness {
    /// Returns whether it turned a request away and has run none that was sent since.
    pub fn is_full(self) -> bool {
        self.turned_away_at > self.had_room_at
    }
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
    /// Whether it is full.
    pub is_full: bool,
}

/// Returns whether a request is sent without a permit.
pub fn has_room(load: BrittleLoad) -> bool {
    // Without a number of daemons this one assumes that there are many.
    let daemons = load.daemons.unwrap_or(u32::MAX).max(1);
    let (own_share, usable_slots) = if daemons > load.slots {
        (1, load.slots / 2)
    } else {
        (load.slots / daemons, load.slots)
    };
    !load.is_full && load.own_running < own_share && load.running < usable_slots.max(1)
}
