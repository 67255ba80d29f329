//! Forwarding: whether a request is sent through another daemon, and through which one.
//!
//! Inputs: the reach of the request's service ([`super::endpoint::reachability`]), where the request
//! came from, the attempts that it has had, its region limits, and for each known daemon its data centre
//! and what it did with earlier requests.
//!
//! Rules:
//! - A request is forwarded if its service is out of reach, or if that is suspected and an attempt
//!   of the request has failed already.
//! - A request that came from another daemon is declined instead: two daemons that both reach
//!   nothing would send it back and forth.
//! - A request is sent only to a daemon in a region that its limits allow. One whose data centre isn't
//!   known may be asked: a handshake contains nothing of the request, and its answer names the data centre.
//! - A daemon that has served the service lately goes first, then one that others name as serving. Of
//!   the others, one of a data centre that the request hasn't asked goes before one of a data centre
//!   that it has asked; then one of a data centre that hasn't declined lately, then one of this data
//!   centre; among equals the one with the fewest requests of this daemon.
//! - One that declined the service, or could not be reached, isn't asked for a while.
//! - A daemon that hasn't answered within `ASK_INTERVAL` isn't waited for: the next one is asked beside
//!   it, and the first that accepts gets the request.
//! - At most `MAX_ASKED` daemons are asked, and `MAX_SENT` of them get the request.
//!
//! Reason: a daemon that is cut off and one whose endpoints are all down look alike from inside.
//! Other daemons know, and one that reaches no endpoint either declines at once. The daemons of a data
//! centre may all be cut off together, so that a decline says something about the others there. A daemon
//! reads the whole body of a request, so that region limits apply to it as to an endpoint.
//!
//! Tests: `reachability.rs`, `forwarding.rs`, `forwarding_regions.rs`.

use super::eligibility::region_limits::RegionLimits;
use super::endpoint::reachability::Reach;
use bridgevane_types::{DataCentreId, DurationMs};
use std::time::Duration;

/// The maximum number of daemons that are asked for one request.
pub const MAX_ASKED: usize = 6;
/// The maximum number of daemons that one request is sent to.
pub(crate) const MAX_SENT: usize = 3;
/// How long a daemon may take to accept a request before the next one is asked. A handshake takes two
/// round trips; a daemon that is gone or frozen doesn't answer.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// The first time for which a daemon that declined isn't asked.
const FIRST_DECLINE_MS: u64 = 500;
/// The longest such time: it bounds how long a daemon that reaches the service again stays unused.
const MAX_DECLINE_MS: u64 = 4_000;
/// The maximum number of doublings: the longest time is reached after three.
const MAX_DOUBLINGS: u32 = 3;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// From a client.
    Client,
    /// From another daemon.
    Daemon {
        /// The number of attempts that ran or may have run there.
        runs: u32,
        /// The number of all attempts there.
        attempts: u32,
    },
}

impl RequestOrigin {
    /// Returns the number of all attempts before the request arrived.
    pub(crate) fn earlier_attempts(self) -> u32 {
        match self {
            Self::Client => 0,
            Self::Daemon { attempts, .. } => attempts,
        }
    }

    /// Returns whether another daemon forwarded the request.
    pub(crate) fn is_daemon(self) -> bool {
        matches!(self, Self::Daemon { .. })
    }

    /// Returns the number of attempts that ran or may have run before the request arrived.
    pub(crate) fn earlier_runs(self) -> u32 {
        match self {
            Self::Client => 0,
            Self::Daemon { runs, .. } => runs,
        }
    }
}

/// The way of a request's next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// To an endpoint.
    Direct,
    /// Through another daemon, if one accepts it.
    Forwarded,
    /// None: another daemon has to find a way.
    Declined,
}

/// Returns the way of a request's next attempt; `attempts` counts the failed ones.
pub fn next_way(origin: RequestOrigin, reach: Reach, attempts: usize) -> Way {
    let is_direct = match reach {
        Reach::InReach => true,
        Reach::Suspected => attempts == 0,
        Reach::OutOfReach => false,
    };
    match origin {
        _ if is_direct => Way::Direct,
        RequestOrigin::Client => Way::Forwarded,
        RequestOrigin::Daemon { .. } => Way::Declined,
    }
}

/// Returns for how long a daemon isn't asked after it declined `declines` times in a row.
pub fn decline_time(declines: u32) -> DurationMs {
    let doublings = declines.saturating_sub(1).min(MAX_DOUBLINGS);
    DurationMs((FIRST_DECLINE_MS << doublings).min(MAX_DECLINE_MS))
}

/// Returns whether a daemon may be asked to take a request; `None` is a data centre that isn't known.
pub fn may_ask(limits: &RegionLimits<'_>, data_centre: Option<&DataCentreId>) -> bool {
    data_centre.is_none_or(|data_centre| limits.allow(data_centre))
}

/// Returns whether a request may be sent to a daemon; `None` is a data centre that isn't known.
pub fn may_send(limits: &RegionLimits<'_>, data_centre: Option<&DataCentreId>) -> bool {
    !limits.is_limited() || data_centre.is_some_and(|data_centre| limits.allow(data_centre))
}

/// What is known of a daemon's service, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Experience {
    /// It has served requests of this daemon lately.
    Served,
    /// Another daemon lately named it as one that serves.
    NamedAsServing,
    /// None.
    Unknown,
}

/// A daemon that a request may be forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardingCandidate {
    /// Whether the request's region limits allow that it is asked.
    pub is_allowed: bool,
    /// Whether it declined lately, or could not be reached.
    pub is_backed_off: bool,
    /// What is known of it.
    pub experience: Experience,
    /// Whether the request has asked a daemon of its data centre.
    pub is_place_asked: bool,
    /// Whether a daemon of its data centre declined lately, and none there has served since.
    pub has_place_declined: bool,
    /// Whether it is in this daemon's data centre.
    pub is_local: bool,
    /// The requests of this daemon that are in progress there.
    pub in_progress: u64,
    /// A random number: the order of equals.
    pub tie_break: u64,
}

/// Returns the daemon that a request is forwarded to; `None` if none is allowed, or all are backed off.
pub fn choose<T>(candidates: impl Iterator<Item = (T, ForwardingCandidate)>) -> Option<T> {
    let is_eligible =
        |candidate: &ForwardingCandidate| candidate.is_allowed && !candidate.is_backed_off;
    let eligible = candidates.filter(|(_, candidate)| is_eligible(candidate));
    let best = eligible.min_by_key(|(_, candidate)| {
        (
            candidate.experience,
            candidate.is_place_asked,
            candidate.has_place_declined,
            !candidate.is_local,
            candidate.in_progress,
            candidate.tie_break,
        )
    });
    best.map(|(daemon, _)| daemon)
}
