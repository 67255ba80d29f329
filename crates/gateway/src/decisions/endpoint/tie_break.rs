//! Tie break: the order in which endpoints with equal cost for a request are chosen.
//!
//! Inputs: the request's prompt, a hash of the daemon's name, the names of endpoints.
//!
//! Rules:
//! 1. A plain request uses its daemon's own order of endpoints, given by a hash of both names.
//!    Daemons spread over all endpoints without communication, and each returns to the same few and
//!    reuses its connections.
//! 2. A prompt uses the order given by its first part: requests of all daemons that share the part
//!    go to the same few engines, which keep it cached, and spread over more engines as these
//!    become loaded.
//!
//! Reason: with ten endpoints for each daemon and less than one request a second, nearly all
//! endpoints look idle to a daemon, and the order among equals places nearly all requests. If that
//! order were the one in which records were read, every daemon of a data centre would send to the
//! same idle endpoint until it learns of the others' requests, a second later: with 197 daemons, 58
//! endpoints and one request each, the busiest endpoint got 197 requests; with an order for each
//! daemon it got 6.
//!
//! Tests: `tie_break.rs`.

use super::hash_mix::hash_with_seed;
use crate::prompt::Prompt;
use crate::work_by_endpoint::EndpointHash;

/// An order of all endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TieBreak {
    seed: u64,
}

impl TieBreak {
    /// Creates the order for a request; `daemon` is a hash of the daemon's name.
    pub(crate) fn new(prompt: &Prompt, daemon: u64) -> Self {
        let first = prompt.parts.first();
        Self {
            seed: first.map_or(daemon, |part| part.id),
        }
    }

    /// Returns the position of an endpoint; the lowest goes first.
    pub(crate) fn rank(self, endpoint: EndpointHash) -> u64 {
        hash_with_seed(self.seed, endpoint)
    }
}
