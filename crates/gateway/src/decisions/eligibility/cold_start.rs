//! Cold start: how many requests a daemon may send to an endpoint that is still cold.
//!
//! A cold endpoint bears few requests a second, summed over all daemons, and ends when it gets many more. Each
//! daemon knows of its own requests only, and what others tell of theirs is older than a second.
//!
//! Inputs: what the service's endpoints bear while cold ([`ColdLimits`]), the number of daemons, the names
//! of this daemon and of the endpoint, and the number of the present window of one second.
//!
//! Rules:
//! - Of the requests that a cold endpoint bears in one window, `PLANNED_SHARE` are divided among all daemons
//!   by a hash of daemon, endpoint and window: with many daemons, a few of them may send one request each,
//!   others in the next window. Nothing is carried over, so that a burst finds no more than one window's part.
//! - A process sends nothing to a cold endpoint in its first window: the one before it may have sent its part.
//! - Where no endpoint may take a request, it is refused, to come back.
//!
//! Alternatives: a rate for each daemon, with what wasn't used saved up, lets all daemons send at once in a
//! burst; a count told along the tree of daemons is a second old, in which an endpoint gets all it bears.
//!
//! Tests: `cold_start.rs`, by 1 to 2,000 daemons that all send as much as they may.

use crate::work_by_endpoint::EndpointHash;
use bridgevane_types::{DurationMs, TimeMs};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of a window: endpoints' limits are told for a second.
const WINDOW_MS: u64 = 1_000;
/// The part of what a cold endpoint bears that is planned for a window. A second may lie across two
/// windows, and the daemons beyond a cut don't count each other: either doubles what arrives.
/// Measured: with 985 daemons that send all they may, two windows together brought an endpoint that bears 11
/// requests a second more than half as many again and 5 in 2 of 300 pairs at 0.5, in none at 0.35.
const PLANNED_SHARE: f64 = 0.35;

/// What the endpoints of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests a second that one endpoint bears, from all daemons together.
    pub requests_per_s: f64,
    /// How long an endpoint stays cold after a start.
    pub duration_ms: DurationMs,
}

/// A daemon's part of what cold endpoints of one service bear.
#[derive(Clone, Copy, Debug)]
pub struct ColdQuota {
    /// What endpoints bear.
    pub limits: ColdLimits,
    /// A hash of this daemon's name.
    pub daemon: u64,
    /// How long this process has run.
    pub process_age: DurationMs,
    /// How many daemons there are; none: this daemon doesn't know, and sends nothing to cold endpoints.
    pub daemons: Option<u32>,
}

/// The window that a moment lies in.
pub(crate) fn window_at(now: TimeMs) -> u64 {
    now.0 / WINDOW_MS
}

impl ColdQuota {
    /// Requests that this daemon may send to a cold endpoint in one window.
    pub fn requests_in(&self, endpoint: EndpointHash, window: u64) -> u32 {
        let Some(daemons) = self.daemons else {
            return 0;
        };
        if self.process_age.0 < WINDOW_MS {
            return 0;
        }
        let planned = self.limits.requests_per_s * PLANNED_SHARE;
        let own_part = planned / f64::from(daemons.max(1));
        let drawn = self.draw(endpoint, window);
        let extra = u32::from(drawn < own_part.fract());
        own_part as u32 + extra
    }

    /// A number from 0 to 1, another for each daemon, endpoint and window.
    fn draw(&self, endpoint: EndpointHash, window: u64) -> f64 {
        let mut name = [0; 12];
        name[..4].copy_from_slice(&endpoint.0.to_le_bytes());
        name[4..].copy_from_slice(&window.to_le_bytes());
        xxh3_64_with_seed(&name, self.daemon) as f64 / u64::MAX as f64
    }
}
