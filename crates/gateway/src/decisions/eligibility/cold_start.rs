//! Cold start: how many requests a daemon may send to an endpoint that is still cold.
//!
//! A cold endpoint can handle few requests a second, summed over all daemons, and its process ends
//! when it gets many more. Each daemon knows only its own requests, and what others report of
//! theirs is more than a second old.
//!
//! Inputs: what the service's endpoints can handle while cold ([`ColdLimits`]), the number of
//! daemons, the names of this daemon and of the endpoint, and the number of the current window of
//! one second.
//!
//! Rules:
//! - Of the requests that a cold endpoint can handle in one window, `PLANNED_SHARE` are divided
//!   among all daemons by a hash of daemon, endpoint and window: with many daemons, a few of them
//!   may send one request each, and others in the next window. Nothing is carried over, so that a
//!   burst finds no more than the quota of one window.
//! - A process sends nothing to a cold endpoint in its first window, since its predecessor may have
//!   used the quota.
//! - A request is refused, to be retried, if no endpoint may take it.
//!
//! Alternatives: a rate for each daemon that saves up unused requests lets all daemons send at once
//! in a burst; a count that is passed along the tree of daemons is a second old, in which an
//! endpoint gets all that it can handle.
//!
//! Tests: `cold_start.rs`, with 1 to 2,000 daemons that all send as much as they may.

use crate::work_by_endpoint::EndpointHash;
use bridgevane_types::{DurationMs, TimeMs};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of a window: limits of endpoints are given per second.
const WINDOW_MS: u64 = 1_000;
/// The share of a cold endpoint's capacity that is planned for a window. A second may overlap two
/// windows, and the daemons on the other side of a network partition don't count each other: either
/// doubles what arrives. With 985 daemons that send all they may to an endpoint that can handle 11
/// requests a second, two windows together exceeded 1.5 times that number plus 5 in 2 of 300 pairs
/// at 0.5, and in none at 0.35.
const PLANNED_SHARE: f64 = 0.35;

/// What the endpoints of a service can handle while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// The requests a second that one endpoint can handle, from all daemons together.
    pub requests_per_s: f64,
    /// How long an endpoint stays cold after a start.
    pub duration_ms: DurationMs,
}

/// A daemon's share of what cold endpoints of one service can handle.
#[derive(Clone, Copy, Debug)]
pub struct ColdQuota {
    /// What one endpoint can handle while cold.
    pub limits: ColdLimits,
    /// A hash of this daemon's name.
    pub daemon: u64,
    /// How long this process has run.
    pub process_age: DurationMs,
    /// The number of daemons; `None` if this daemon doesn't know it, and sends nothing to cold
    /// endpoints.
    pub daemons: Option<u32>,
}

/// Returns the number of the window that contains `now`.
pub(crate) fn window_at(now: TimeMs) -> u64 {
    now.0 / WINDOW_MS
}

impl ColdQuota {
    /// Returns the number of requests that this daemon may send to a cold endpoint in one window.
    pub fn requests_in(&self, endpoint: EndpointHash, window: u64) -> u32 {
        let Some(daemons) = self.daemons else {
            return 0;
        };
        if self.process_age.0 < WINDOW_MS {
            return 0;
        }
        let planned = self.limits.requests_per_s * PLANNED_SHARE;
        let own_share = planned / f64::from(daemons.max(1));
        let drawn = self.draw(endpoint, window);
        let extra = u32::from(drawn < own_share.fract());
        own_share as u32 + extra
    }

    /// Returns a pseudo-random number from 0 to 1 for a daemon, an endpoint and a window.
    fn draw(&self, endpoint: EndpointHash, window: u64) -> f64 {
        let mut key = [0; 12];
        key[..4].copy_from_slice(&endpoint.0.to_le_bytes());
        key[4..].copy_from_slice(&window.to_le_bytes());
        xxh3_64_with_seed(&key, self.daemon) as f64 / u64::MAX as f64
    }
}
