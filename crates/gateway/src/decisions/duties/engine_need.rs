//! Engine need: how many engines a service needs, in engines that stay.
//!
//! Inputs: the permanent engines that run, each time the holder looks, and the need that an earlier
//! holder left in the duties' state.
//!
//! Rule: the need is the most permanent engines that ever ran: what the operator started the service
//! with is taken to be enough for its usual peak. It is settled when the number of engines has not
//! changed for `SETTLING`: the engines of a fleet that starts record themselves one after the
//! other, and a need that is read too early would give most of them up. Until then it may be used
//! for orders that add engines, not for those that give any up.
//!
//! Tests: `duties_engines.rs`.

use bridgevane_types::{DurationMs, TimeMs};

/// How long the number of engines must not change. Measured: with none, a fleet that starts with 60
/// engines ordered 3 before their records were there, and served 0.27 of a quiet day's requests.
/// Engines write their records every 1.2 s; the rest is for the way.
const SETTLING: DurationMs = DurationMs(1_500);

/// What was seen of a service's engines before its need was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    permanent: u32,
    since: TimeMs,
}

/// What a service needs, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Engines, as engines that stay.
    pub engines: u32,
    /// Whether it won't turn out higher in a moment.
    pub is_settled: bool,
}

/// Learns the need of one service.
#[derive(Debug, Default)]
pub struct EngineNeed {
    seen: Option<Seen>,
}

impl EngineNeed {
    /// The need, where `known` is the one in the duties' state (0: none) and `permanent` engines
    /// run.
    pub fn observe(&mut self, now: TimeMs, known: u32, permanent: u32) -> Need {
        if known > 0 {
            return Need {
                engines: known.max(permanent),
                is_settled: true,
            };
        }
        let seen = self.seen.filter(|seen| seen.permanent == permanent);
        let seen = *self.seen.insert(seen.unwrap_or(Seen {
            permanent,
            since: now,
        }));
        Need {
            engines: permanent,
            is_settled: permanent > 0 && now.since(seen.since) >= SETTLING,
        }
    }
}
