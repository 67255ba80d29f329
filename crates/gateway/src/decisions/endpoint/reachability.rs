//! Reachability: whether this daemon can reach the endpoints of a service at all.
//!
//! Inputs, for one service: the endpoints that this daemon's requests found unreachable or silent,
//! when it last opened a connection or got an answer, and the results of probes.
//!
//! Rules:
//! - The service is suspected of being out of reach if connections to `MIN_LOST_ENDPOINTS`
//!   different endpoints failed since one was last opened, or if so many were silent since one last
//!   answered. One is enough if the service has only one endpoint, or if nothing was heard of it
//!   for `RECENT_CONTACT`.
//! - A suspicion starts a probe of up to `MAX_PROBED_ENDPOINTS` endpoints, of different data
//!   centres where possible. An accepted connection ends it; otherwise the service is out of reach.
//! - A request that waits for its endpoint while nothing is heard of the service for [`silence_limit`]
//!   starts a check: a connection to that endpoint, at most one each `CHECK_PAUSE` for a service. If it
//!   isn't accepted, the service is suspected.
//! - A request that waits when its service is found out of reach is sent again, where it may run again.
//! - The probe is repeated every `PROBE_INTERVAL`. An accepted connection ends the state.
//! - Another daemon's requests are accepted if something was heard of the service for
//!   `RECENT_CONTACT`, otherwise after a probe.
//!
//! Reason: the ejection of single endpoints can't tell an endpoint that is down from a daemon that
//! is cut off. Open connections may live on while new ones fail, so answers on them don't count
//! against failed connections.
//!
//! Tests: `reachability.rs`, `forwarding.rs`.

use bridgevane_decisions::EndpointIx;
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::time::Duration;

/// The number of lost endpoints that makes a suspicion: one may have crashed.
const MIN_LOST_ENDPOINTS: usize = 2;
/// For how long an answer or an opened connection makes a single lost endpoint unsuspicious.
const RECENT_CONTACT: DurationMs = DurationMs(1_000);
/// The shortest silence of a service that starts a check: several round trips to the farthest endpoint.
const MIN_SILENCE_MS: f64 = 150.0;
/// The part of the expected time until an answer that is added to it: estimates are rough.
const EXPECTED_SHARE: f64 = 2.0;
/// The shortest time between two checks of one service: each costs a connection.
const CHECK_PAUSE: DurationMs = DurationMs(1_000);
/// The timeout of a check: a round trip to the farthest endpoint, twice.
pub(crate) const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of endpoints in one probe.
pub(crate) const MAX_PROBED_ENDPOINTS: usize = 3;
/// The pause between two probes while the service is out of reach.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How an endpoint was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No connection could be opened.
    NoConnection,
    /// A connection was open, and no byte arrived in time.
    Silent,
}

/// Whether this daemon reaches a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// Nothing suggests otherwise.
    #[default]
    InReach,
    /// Endpoints were lost; a probe is under way.
    Suspected,
    /// No endpoint accepted a connection.
    OutOfReach,
}

/// What a daemon's contact with a service shows of its reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// An endpoint answered or accepted a connection lately.
    Recent,
    /// No endpoint accepts a connection.
    None,
    /// Nothing was heard of it lately.
    Unknown,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The service is in reach, and was not found out of reach before.
    InReach,
    /// It has just been found out of reach.
    Lost,
    /// It still is.
    StillLost,
    /// It is in reach again.
    Regained,
}

/// What a daemon knows of its reach of one service.
#[derive(Debug, Default)]
pub struct ServiceReach {
    reach: Reach,
    /// The endpoints to which no connection could be opened since one was last opened.
    unopened: Vec<EndpointIx>,
    /// The endpoints that were silent since one last answered.
    silent: Vec<EndpointIx>,
    last_contact_at: Option<TimeMs>,
    last_check_at: Option<TimeMs>,
}

impl ServiceReach {
    /// Returns whether the service is in reach.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Records that a connection to an endpoint was opened for a request.
    pub fn on_opened(&mut self, now: TimeMs) {
        self.unopened.clear();
        self.last_contact_at = Some(now);
        // Out of reach is ended by a probe alone, which also ends the ejections.
        if self.reach == Reach::Suspected {
            self.reach = Reach::InReach;
        }
    }

    /// Records that an endpoint answered.
    pub fn on_answered(&mut self, now: TimeMs) {
        self.silent.clear();
        self.last_contact_at = Some(now);
    }

    /// Records that bytes arrived from an endpoint.
    pub fn on_heard(&mut self, now: TimeMs) {
        self.last_contact_at = Some(now);
    }

    /// Returns whether a request that waits for an endpoint has to check the reach, since nothing was
    /// heard of the service for `limit`; the check counts as made.
    pub fn is_check_due(&mut self, now: TimeMs, limit: DurationMs) -> bool {
        let is_before = |at: Option<TimeMs>, time| at.is_none_or(|at| now.since(at) >= time);
        let is_due = self.reach == Reach::InReach
            && is_before(self.last_contact_at, limit)
            && is_before(self.last_check_at, CHECK_PAUSE);
        if is_due {
            self.last_check_at = Some(now);
        }
        is_due
    }

    /// Records a lost endpoint of a service with `endpoints` endpoints; returns true if a probe has
    /// to start.
    pub fn on_lost(
        &mut self,
        now: TimeMs,
        endpoint: EndpointIx,
        loss: Loss,
        endpoints: usize,
    ) -> bool {
        let lost = match loss {
            Loss::NoConnection => &mut self.unopened,
            Loss::Silent => &mut self.silent,
        };
        if lost.len() < MIN_LOST_ENDPOINTS && !lost.contains(&endpoint) {
            lost.push(endpoint);
        }
        let lost = lost.len();
        let min_lost = if self.had_contact(now) {
            MIN_LOST_ENDPOINTS.min(endpoints.max(1))
        } else {
            1
        };
        lost >= min_lost && self.suspect()
    }

    /// Suspects that the service is out of reach; returns true if a probe has to start.
    pub fn suspect(&mut self) -> bool {
        let is_new = self.reach == Reach::InReach;
        if is_new {
            self.reach = Reach::Suspected;
        }
        is_new
    }

    /// Returns what the contact with the service shows.
    pub fn contact(&self, now: TimeMs) -> Contact {
        match self.reach {
            Reach::OutOfReach => Contact::None,
            Reach::InReach if self.had_contact(now) => Contact::Recent,
            Reach::InReach | Reach::Suspected => Contact::Unknown,
        }
    }

    fn had_contact(&self, now: TimeMs) -> bool {
        self.last_contact_at
            .is_some_and(|at| now.since(at) < RECENT_CONTACT)
    }

    /// Records the result of a probe: whether an endpoint accepted a connection.
    pub fn on_probed(&mut self, now: TimeMs, is_accepted: bool) -> ProbeVerdict {
        let before = self.reach;
        if is_accepted {
            *self = Self {
                last_contact_at: Some(now),
                last_check_at: self.last_check_at,
                ..Self::default()
            };
        } else if before != Reach::InReach {
            self.reach = Reach::OutOfReach;
        }
        match (before, is_accepted) {
            (Reach::OutOfReach, true) => ProbeVerdict::Regained,
            (Reach::OutOfReach, false) => ProbeVerdict::StillLost,
            (Reach::Suspected, false) => ProbeVerdict::Lost,
            _ => ProbeVerdict::InReach,
        }
    }
}

/// Returns how long a service may be silent before a request that waits for an answer checks its
/// reach; `expected_ms` is the estimated time until the answer, in milliseconds.
pub fn silence_limit(expected_ms: f64) -> DurationMs {
    DurationMs((MIN_SILENCE_MS + EXPECTED_SHARE * expected_ms) as u64)
}

/// Returns the positions of the endpoints to probe, given their data centres in a random order:
/// first one of each data centre.
pub fn probe_targets(data_centres: &[DataCentreId]) -> Vec<usize> {
    let is_first_of_its = |at: &usize| !data_centres[..*at].contains(&data_centres[*at]);
    let (first, others): (Vec<usize>, Vec<usize>) =
        (0..data_centres.len()).partition(is_first_of_its);
    let ranked = first.into_iter().chain(others);
    ranked.take(MAX_PROBED_ENDPOINTS).collect()
}
