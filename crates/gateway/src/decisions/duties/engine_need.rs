//! Engine need: how many engines a service needs, in engines that stay.
//!
//! Inputs: the permanent engines that run, each time the holder looks, and the need that an earlier
//! holder left in the duties' state.
//!
//! Rule: the need is the most permanent engines that ever ran: what the operator started the service
//! with is taken to be enough for its usual peak. It is first read when the number of engines has not
//! changed for [`SETTLING`]: the engines of a fleet that starts record themselves one after the
//! other, and a need that is read too early would give most of them up.
//!
//! Tests: `duties_engines.rs`.

use bridgevane_types::{DurationMs, TimeMs};

/// How long the number of engines must not change. Measured: with none, a fleet that starts with 60
/// engines ordered 3 before their records were there, and served 0.27 of a quiet day's requests;
/// engines write their records every 1.2 s, so that two writes and their way are waited for.
const SETTLING: DurationMs = DurationMs(3_000);

/// What was seen of a service's engines before its need was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    permanent: u32,
    since: TimeMs,
}

/// Learns the need of one service.
#[derive(Debug, Default)]
pub struct EngineNeed {
    seen: Option<Seen>,
}

impl EngineNeed {
    /// The need, where `known` is the one in the duties' state (0: none) and `permanent` engines
    /// run; none: it isn't known yet.
    pub fn observe(&mut self, now: TimeMs, known: u32, permanent: u32) -> Option<u32> {
        if known > 0 {
            return Some(known.max(permanent));
        }
        let seen = self.seen.filter(|seen| seen.permanent == permanent);
        let seen = *self.seen.insert(seen.unwrap_or(Seen {
            permanent,
            since: now,
        }));
        let is_settled = permanent > 0 && now.since(seen.since) >= SETTLING;
        is_settled.then_some(permanent)
    }
}
