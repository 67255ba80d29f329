//! Stream reservation: in each data centre some engines are reserved for streams.
//!
//! Inputs: the ids and data centres of a service's endpoints; the tokens and the maximum answer
//! tokens of a prompt.
//!
//! Rule: in each data centre, `RESERVED_SHARE` of the engines, those with the lowest hash of their
//! id, are reserved for requests that count as streams; every daemon that sees the same endpoints
//! reserves the same ones. A request counts as a stream if its prompt is short or its answer is
//! long in proportion to it. The reservation is a cost in [`super::placement`], not a hard limit.
//!
//! Reason: an engine that reads a long prompt produces no tokens for its other requests meanwhile,
//! so that streams on the same engine pause. The reservation cut the longest pauses (p99) from 348
//! to 79 ms.
//!
//! Tests: `decisions.rs::streams_and_long_prompts_go_to_different_engines`,
//! `streams_leave_an_engine_before_its_slots_are_taken`.

use crate::prompt::Prompt;
use bridgevane_decisions::EndpointIx;
use bridgevane_types::DataCentreId;
use std::collections::{HashMap, HashSet};
use xxhash_rust::xxh3::xxh3_64;

/// The share of a data centre's engines that is reserved. A lower share (0.2) leaves too few
/// engines for streams when traffic grows; a higher one leaves fewer for long prompts.
const RESERVED_SHARE: f64 = 0.3;
/// The number of answer tokens per prompt token from which a request counts as a stream. The
/// largest answer that a client allows is about four times the usual one: when the time of such an
/// answer decided, reports (long prompts) counted as streams and were placed on the same engines.
const MIN_ANSWER_RATIO: f64 = 0.15;
/// The longest prompt that counts as a stream whatever its answer: an engine reads it in about one
/// step (2,048 tokens at the users' sites). It keeps queues shorter when traffic grows.
const MAX_ONE_STEP_TOKENS: u64 = 2_500;

/// Returns whether a request counts as a stream: a pause costs it more than the time to read its
/// prompt.
pub(crate) fn is_stream_like(prompt: &Prompt) -> bool {
    let is_short = prompt.tokens.0 <= MAX_ONE_STEP_TOKENS;
    let answer_tokens = prompt.max_answer_tokens.0 as f64;
    is_short || answer_tokens > MIN_ANSWER_RATIO * prompt.tokens.0 as f64
}

/// An endpoint of a service.
#[derive(Clone, Debug)]
pub(crate) struct ReservationMember<'a> {
    /// Its index on this daemon.
    pub(crate) index: EndpointIx,
    /// Its id, the same on all daemons.
    pub(crate) id: &'a str,
    /// Its data centre.
    pub(crate) data_centre: &'a DataCentreId,
}

/// Returns the endpoints of a service that are reserved for streams.
pub(crate) fn reserve<'a>(
    members: impl Iterator<Item = ReservationMember<'a>>,
) -> HashSet<EndpointIx> {
    let mut by_data_centre: HashMap<&DataCentreId, Vec<(u64, EndpointIx)>> = HashMap::new();
    for member in members {
        let hash = xxh3_64(member.id.as_bytes());
        let local = by_data_centre.entry(member.data_centre).or_default();
        local.push((hash, member.index));
    }
    let mut reserved = HashSet::new();
    for local in by_data_centre.values_mut() {
        local.sort_unstable();
        let count = (RESERVED_SHARE * local.len() as f64).round() as usize;
        reserved.extend(local.iter().take(count).map(|(_, index)| *index));
    }
    reserved
}
