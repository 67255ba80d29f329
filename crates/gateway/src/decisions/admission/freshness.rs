//! Freshness: whether a configuration may be used to forward requests and to deny them.
//!
//! Inputs: the age of the newest proof (ms), the operator's [`FreshnessPolicy`]: how long a proof is
//! valid (ms, `--key-removal-ms` less 300), within which time a change must be in force (ms,
//! `--config-apply-ms`), and up to which age a stale configuration may be used (ms, `--max-stale-s`;
//! only with `--strict-key-removal false`), and the [`Completeness`] of the state. A proof is an answer
//! of the control source. Its age counts from the time of the *request* for it, so that the time the
//! answer took is included; it keeps its age when it is passed on between daemons.
//!
//! Rules:
//! - The configuration is recent while the age is below the lifetime of a proof, then stale, then
//!   too old. Without a proof it counts as too old.
//! - A recent configuration is current if its state is complete and its proof is younger than the time
//!   within which a change must be in force. It may then decide everything.
//! - A stale, aging or witnessed configuration lets a request pass, but can't decide that a key or a
//!   route is unknown or a body too long: 401, 404 and 413 are final for a client, so they need a
//!   current one; without it the answer is 503.
//! - An unwitnessed configuration decides nothing: it may have keys that were removed. It counts as
//!   stale where the operator allows a stale one.
//! - A daemon that has just started has no proof yet, and its first one will arrive shortly: a
//!   request waits for it for a short time, since its client may retry only once.
//!
//! Reason: with strict key removal, a key that was removed must stop working within a bound on
//! every VM, also on one that is cut off from the source. Without it, the harm of a removed key
//! that still works during an outage is small against refusing all requests while engines are idle.
//! In the two seconds after all daemons were killed, waiting for the first proof lowered the number
//! of refused requests from about 440 to 105 of about 1,000.
//!
//! Tests: `admission.rs::a_proof_ages_until_serving_ends`, `completeness.rs`, `freshness.rs`.

use crate::decisions::replication::completeness::Completeness;
use bridgevane_types::DurationMs;

/// The longest time that a request waits for a daemon that is starting. First configurations
/// arrived 0.2 to 0.4 s after a start; half this time would refuse some of these requests, twice
/// this time would delay the others without benefit.
const MAX_STARTUP_WAIT: DurationMs = DurationMs(500);
/// The maximum share of the client's timeout that a request waits; the rest is left for the request
/// itself.
const MAX_STARTUP_WAIT_SHARE: f64 = 0.25;

/// The ages that the operator allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessPolicy {
    /// How long a proof that the configuration is the newest is valid.
    pub proof_lifetime_ms: DurationMs,
    /// The maximum time until a change of the configuration is active.
    pub config_apply_ms: DurationMs,
    /// The age of the newest proof up to which a stale configuration may be used. If it is no
    /// longer than `proof_lifetime_ms`, a stale configuration is never used.
    pub max_stale_age_ms: DurationMs,
}

/// What the configuration may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It lacks nothing that must be in force.
    Current,
    /// It is recent, but may lack a change that must be in force.
    Aging,
    /// It is recent, and this daemon or another one knew it when the source came back from a copy.
    Witnessed,
    /// It may have been replaced, and the operator allows its use.
    Stale,
    /// It is recent, but comes from a copy, and may not be used.
    Unwitnessed,
    /// It may not be used, or there is none.
    TooOld,
}

impl FreshnessPolicy {
    /// Returns the freshness of a configuration whose newest proof has this age (`None` if there is no
    /// proof), and whose state is this complete.
    pub fn freshness(self, proof_age: Option<DurationMs>, completeness: Completeness) -> Freshness {
        let allows_stale = self.max_stale_age_ms > self.proof_lifetime_ms;
        match (proof_age, completeness) {
            (Some(age), Completeness::Complete) if age < self.denial_limit() => Freshness::Current,
            (Some(age), Completeness::Complete) if age < self.proof_lifetime_ms => Freshness::Aging,
            (Some(age), Completeness::Witnessed) if age < self.proof_lifetime_ms => {
                Freshness::Witnessed
            }
            (Some(age), _) if age < self.max_stale_age_ms && allows_stale => Freshness::Stale,
            (Some(age), _) if age < self.proof_lifetime_ms => Freshness::Unwitnessed,
            _ => Freshness::TooOld,
        }
    }

    /// Returns the age of a proof from which on a change that must be in force may be missing.
    fn denial_limit(self) -> DurationMs {
        self.config_apply_ms.min(self.proof_lifetime_ms)
    }
}

impl Freshness {
    /// Returns whether requests may be forwarded by the configuration.
    pub fn may_serve(self) -> bool {
        matches!(
            self,
            Self::Current | Self::Aging | Self::Witnessed | Self::Stale
        )
    }

    /// Returns whether the configuration may decide that a key or a route is unknown.
    pub fn may_deny(self) -> bool {
        self == Self::Current
    }

    /// Returns whether engines may be ordered by the configuration.
    pub fn may_order(self) -> bool {
        matches!(self, Self::Current | Self::Aging | Self::Witnessed)
    }

    /// Returns whether a daemon may try to hold the duties. What their holder may do after a return
    /// from a copy has rules of its own.
    pub fn may_hold_duties(self) -> bool {
        self != Self::TooOld
    }
}

/// Returns how long a request waits for the first proof of a daemon that is starting;
/// `client_timeout` is the client's timeout, if it sends one.
pub fn startup_wait(client_timeout: Option<DurationMs>) -> std::time::Duration {
    let limit = MAX_STARTUP_WAIT.as_std();
    let share = client_timeout.map(|timeout| timeout.as_std().mul_f64(MAX_STARTUP_WAIT_SHARE));
    share.map_or(limit, |share| share.min(limit))
}
