//! Tie break: in which order endpoints are taken that cost a request the same.
//!
//! Where there are ten endpoints for each daemon and less than one request a second, nearly all endpoints are
//! idle as far as a daemon knows, and the order among equals places nearly all requests.
//!
//! Inputs: the request's prompt, a hash of the daemon's name, the names of endpoints.
//!
//! Rules:
//! 1. A plain request takes its daemon's own order of endpoints, by a hash of both names. Daemons spread over
//!    all endpoints without a word, each comes back to the same few, and uses its connections again.
//! 2. A prompt takes the order of its first part: requests of all daemons that share the part meet at the same
//!    few engines, which keep it cached, and spread over more as these take on work.
//!
//! Reason: with one order for all, the order in which records were read, every daemon of a data centre sends
//! to the same idle endpoint until it hears of the others' work, a second later.
//!
//! Measured: `tie_break.rs` (tests) has 197 daemons before 58 endpoints, one request each: the busiest got 197
//! with one order for all, and 6 by the daemons' own.

use super::hash_mix::mix;
use crate::prompt::Prompt;
use crate::work_by_endpoint::EndpointHash;

/// An order of all endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TieBreak {
    seed: u64,
}

impl TieBreak {
    /// The order for a request; `daemon` is a hash of the daemon's name.
    pub(crate) fn new(prompt: &Prompt, daemon: u64) -> Self {
        let first = prompt.parts.first();
        Self {
            seed: first.map_or(daemon, |part| part.id),
        }
    }

    /// Where an endpoint stands; the lowest goes first.
    pub(crate) fn rank(self, endpoint: EndpointHash) -> u64 {
        mix(self.seed, endpoint)
    }
}
