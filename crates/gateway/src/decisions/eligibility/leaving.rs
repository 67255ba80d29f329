//! Leaving: an endpoint that says so in an answer gets nothing new in this life.
//!
//! Inputs: the endpoint's own answers, and its lives as the control source tells them (id and birth).
//!
//! Rules:
//! 1. From the first answer that says it, no request goes there: no first try, retry, hedge or rest of a stream, and no
//!    prompt is kept for it. What runs there goes on to its end.
//! 2. Nothing takes that back: no record that says that it is ready, no configuration, no outage of the source,
//!    no lack of other endpoints. A life whose record goes and comes back still leaves.
//! 3. A later life under the id is another endpoint, and so is one that gets the address.
//!
//! Reason: the endpoint knows it first. Its record can't say so while the source is away, and old reads of the source may
//! say the opposite for seconds.
//!
//! Tests: `endpoint_leaving.rs`.

use bridgevane_types::{EndpointId, WallTimeMs};
use std::collections::{HashSet, VecDeque};

/// Lives that are remembered at most after their records are gone. Chosen because it is more than all endpoints of
/// the largest fleet, at some 100 bytes each.
const MAX_REMEMBERED_LIVES: usize = 4_096;

/// One life of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointLife {
    /// The endpoint.
    pub id: EndpointId,
    /// When it was born; none: it doesn't say.
    pub born: Option<WallTimeMs>,
}

/// Lives that said that they leave and whose records are gone: they may come back.
#[derive(Debug, Default)]
pub struct LeavingLives {
    lives: HashSet<EndpointLife>,
    oldest_first: VecDeque<EndpointLife>,
}

impl LeavingLives {
    /// The record of a life that leaves is gone.
    pub fn remember(&mut self, life: EndpointLife) {
        if !self.lives.insert(life.clone()) {
            return;
        }
        self.oldest_first.push_back(life);
        if self.oldest_first.len() > MAX_REMEMBERED_LIVES
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.lives.remove(&oldest);
        }
    }

    /// Whether a life said that it leaves.
    pub fn contains(&self, life: &EndpointLife) -> bool {
        self.lives.contains(life)
    }
}
