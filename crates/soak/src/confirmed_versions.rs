//! The versions of the configuration that the store has acknowledged, and what daemons may answer by
//! them.

use derive_more::Display;
use std::collections::BTreeSet;
use std::time::Duration;

/// The time after its acknowledgement within which a version must be in force on all daemons.
pub const APPLY_BOUND: Duration = Duration::from_millis(3_000);
/// The time after its acknowledgement within which all daemons must refuse the keys that a version
/// removes.
pub const KEY_BOUND: Duration = Duration::from_millis(5_000);
/// How long after its removal something is still asked for.
const ASKED_AFTER_REMOVAL: Duration = Duration::from_millis(20_000);

/// What a probe asks for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeKind {
    /// A route that is confirmed.
    #[display("confirmed route")]
    ConfirmedRoute,
    /// A route that was removed.
    #[display("removed route")]
    RemovedRoute,
    /// A key that is confirmed.
    #[display("confirmed key")]
    ConfirmedKey,
    /// A key that was removed.
    #[display("removed key")]
    RemovedKey,
}

impl ProbeKind {
    /// Each kind.
    pub const EACH: [Self; 4] = [
        Self::ConfirmedRoute,
        Self::RemovedRoute,
        Self::ConfirmedKey,
        Self::RemovedKey,
    ];

    /// Returns whether an answer with this status is wrong: what is confirmed may not be denied, what
    /// was removed may not be served. Refusals for a time (503) are allowed.
    pub fn is_wrong(self, status: u16) -> bool {
        match self {
            Self::ConfirmedRoute | Self::ConfirmedKey => matches!(status, 401 | 403 | 404),
            Self::RemovedRoute | Self::RemovedKey => (200..300).contains(&status),
        }
    }

    /// Returns whether probes of this kind ask for something that is confirmed.
    pub(crate) fn is_confirmed(self) -> bool {
        matches!(self, Self::ConfirmedRoute | Self::ConfirmedKey)
    }

    fn is_key(self) -> bool {
        matches!(self, Self::ConfirmedKey | Self::RemovedKey)
    }
}

/// Whether a daemon could hear of the newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touch {
    /// It runs, and its path to the store hasn't failed lately.
    InTouch,
    /// It was started, frozen or cut off from the store lately. It may serve routes that were removed,
    /// as long as keys that were removed.
    OutOfTouch,
}

/// A version, with the numbers of the routes and keys that come and go.
#[derive(Clone, Debug)]
struct Version {
    acknowledged_at: Duration,
    routes: BTreeSet<u64>,
    keys: BTreeSet<u64>,
}

impl Version {
    fn has(&self, kind: ProbeKind, number: u64) -> bool {
        if kind.is_key() {
            self.keys.contains(&number)
        } else {
            self.routes.contains(&number)
        }
    }
}

/// The acknowledged versions, oldest first. Each adds a route and a key of its own number, and removes
/// the oldest ones.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedVersions {
    versions: Vec<Version>,
}

impl ConfirmedVersions {
    /// Records that the store acknowledged a version with these routes and keys.
    pub fn on_acknowledged(&mut self, at: Duration, routes: BTreeSet<u64>, keys: BTreeSet<u64>) {
        self.versions.push(Version {
            acknowledged_at: at,
            routes,
            keys,
        });
    }

    /// Returns whether the newest version has a route or key.
    pub fn newest_has(&self, kind: ProbeKind, number: u64) -> bool {
        let newest = self.versions.last();
        newest.is_some_and(|version| version.has(kind, number))
    }

    /// Returns the numbers that a probe of this kind may ask for at a time.
    pub fn askable(&self, kind: ProbeKind, touch: Touch, now: Duration) -> Vec<u64> {
        let numbers = 0..=self.versions.len() as u64;
        let is_askable = |number: &u64| {
            if kind.is_confirmed() {
                self.is_confirmed(kind, *number, now)
            } else {
                self.is_removed(kind, touch, *number, now)
            }
        };
        numbers.filter(is_askable).collect()
    }

    /// Returns the versions that may be in force at a time: those acknowledged in the bound before, and
    /// the newest one before these.
    fn possible(&self, now: Duration, bound: Duration) -> &[Version] {
        let is_old = |version: &Version| version.acknowledged_at + bound <= now;
        let old = self.versions.partition_point(is_old);
        &self.versions[old.saturating_sub(1)..]
    }

    /// Returns whether each version that may be in force has the route or key.
    fn is_confirmed(&self, kind: ProbeKind, number: u64, now: Duration) -> bool {
        let is_oldest_in_force =
            (self.versions.first()).is_some_and(|first| first.acknowledged_at + APPLY_BOUND <= now);
        let mut possible = self.possible(now, APPLY_BOUND).iter();
        is_oldest_in_force && possible.all(|version| version.has(kind, number))
    }

    /// Returns whether no version that may be in force has the route or key, and one removed it lately.
    fn is_removed(&self, kind: ProbeKind, touch: Touch, number: u64, now: Duration) -> bool {
        let bound = if kind.is_key() || touch == Touch::OutOfTouch {
            KEY_BOUND
        } else {
            APPLY_BOUND
        };
        let mut possible = self.possible(now, bound).iter();
        if possible.any(|version| version.has(kind, number)) {
            return false;
        }
        let mut with = self.versions.iter();
        let last_with = with.rposition(|version| version.has(kind, number));
        let removed_by = last_with.and_then(|last| self.versions.get(last + 1));
        removed_by.is_some_and(|version| version.acknowledged_at + ASKED_AFTER_REMOVAL >= now)
    }
}
