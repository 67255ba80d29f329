//! Completeness: what a state may lack that was confirmed before the control source came back from an
//! older copy.
//!
//! Inputs: the source's era and the revisions of the states that this daemon applies, the age of its
//! newest proof when a state of a new era arrives (ms), the lifetime of a proof (ms,
//! `--key-removal-ms` less 300), writes of the operator, and reports of other daemons.
//!
//! | completeness | what may be missing |
//! |---|---|
//! | complete | nothing that was confirmed before the newest proof |
//! | witnessed | what was confirmed in the last moments before the return, and reached no daemon |
//! | unwitnessed | everything that the copy lacks |
//!
//! Rules:
//! - In the first era all states are complete.
//! - A daemon whose proof was still valid when the new era's first state arrived has witnessed the
//!   return. One that was cut off longer waits for [`WITNESS_WAIT`], in which a daemon that knows
//!   more would reach it, and counts as a witness then. One that starts in a later era isn't one.
//! - A daemon whose configuration is at least as new as that of another daemon of the same era is as
//!   complete as that one.
//! - A write of the operator in this era that isn't older than the active version makes a state
//!   complete: the document holds the whole configuration.
//! - After [`DOUBT_LIMIT`] a state counts as complete.
//!
//! Reason: a proof says that a state is as new as the source's. After a return the source itself may
//! lack what it had confirmed, and a daemon that relies on its copy denies routes and keys that exist,
//! and serves those that were removed. See docs/design/31.
//!
//! Tests: `completeness.rs`, `follow_tree.rs`, `store_from_copy.rs`.

use crate::control::source::{Revision, SourceEra};
use bridgevane_types::{ConfigVersion, DurationMs, TimeMs};
use derive_more::Display;

/// The maximum time for which a state counts as incomplete. Operators write again within seconds, and a
/// fleet of which all daemons were replaced must serve again.
pub const DOUBT_LIMIT: DurationMs = DurationMs(8_000);

/// How long a daemon that lived through a return without a valid proof waits for one that knows more: a
/// report of an upstream takes 0.6 s at most, the configuration that it names is fetched once in 2 s.
pub const WITNESS_WAIT: DurationMs = DurationMs(2_500);

/// How much a state may lack, the most first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Completeness {
    /// Everything that the copy lacks.
    #[display("unwitnessed")]
    Unwitnessed,
    /// What was confirmed in the last moments before the return.
    #[display("witnessed")]
    Witnessed,
    /// Nothing.
    #[display("complete")]
    Complete,
}

/// Where an incomplete state comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// From this daemon's state of the era before, whose proof was valid, or from such a daemon.
    Witnessed,
    /// From this daemon's state of the era before, whose proof was no longer valid.
    Outdated,
    /// From the copy.
    Copy,
}

/// A doubt whether a state is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Doubt {
    since: TimeMs,
    origin: Origin,
}

impl Doubt {
    fn completeness(self, now: TimeMs) -> Completeness {
        let elapsed = now.since(self.since);
        match self.origin {
            _ if elapsed >= DOUBT_LIMIT => Completeness::Complete,
            Origin::Witnessed => Completeness::Witnessed,
            Origin::Outdated if elapsed >= WITNESS_WAIT => Completeness::Witnessed,
            Origin::Outdated | Origin::Copy => Completeness::Unwitnessed,
        }
    }
}

/// What a daemon knows of the source's era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraKnowledge {
    /// The revision of the first state of the era; 0 before the first state.
    first: Revision,
    doubt: Option<Doubt>,
}

impl EraKnowledge {
    /// Returns how complete the state is.
    pub fn completeness(&self, now: TimeMs) -> Completeness {
        self.doubt
            .map_or(Completeness::Complete, |doubt| doubt.completeness(now))
    }

    /// Returns the era of the states that were applied.
    pub fn era(&self) -> SourceEra {
        self.first.era()
    }

    /// Returns the knowledge after a full state at `revision` was applied. `proof_age` is the age of the
    /// newest proof before it, `proof_lifetime` how long a proof is valid.
    #[must_use]
    pub fn after_full_state(
        self,
        now: TimeMs,
        revision: Revision,
        proof_age: Option<DurationMs>,
        proof_lifetime: DurationMs,
    ) -> Self {
        let is_first = self.first == Revision(0);
        if !is_first && revision.era() <= self.era() {
            return self;
        }
        let has_come_back = revision.era() > SourceEra(0);
        let origin = if is_first {
            Origin::Copy
        } else {
            self.origin_after_return(now, proof_age, proof_lifetime)
        };
        Self {
            first: revision,
            doubt: has_come_back.then_some(Doubt { since: now, origin }),
        }
    }

    /// Returns where the state comes from if the source has come back again: what an incomplete state
    /// lacked it still lacks.
    fn origin_after_return(
        &self,
        now: TimeMs,
        proof_age: Option<DurationMs>,
        proof_lifetime: DurationMs,
    ) -> Origin {
        if let Some(doubt) = self.doubt
            && self.completeness(now) == Completeness::Unwitnessed
        {
            return doubt.origin;
        }
        if proof_age.is_some_and(|age| age < proof_lifetime) {
            Origin::Witnessed
        } else {
            Origin::Outdated
        }
    }

    /// Returns the knowledge after the operator's document of version `written` was applied, which was
    /// written at `revision`; `active` is the version before.
    #[must_use]
    pub fn after_operator_write(
        self,
        revision: Revision,
        written: ConfigVersion,
        active: ConfigVersion,
    ) -> Self {
        if revision <= self.first || written < active {
            return self;
        }
        Self {
            doubt: None,
            ..self
        }
    }

    /// Returns the knowledge after another daemon of the same era, whose configuration isn't newer, has
    /// reported how complete its state is.
    #[must_use]
    pub fn after_report(self, reported: Completeness) -> Self {
        let doubt = match reported {
            Completeness::Complete => None,
            Completeness::Witnessed => self.doubt.map(|doubt| Doubt {
                origin: Origin::Witnessed,
                ..doubt
            }),
            Completeness::Unwitnessed => self.doubt,
        };
        Self { doubt, ..self }
    }
}
