//! Evacuation: a data centre that operators empty gets no new requests at its endpoints.
//!
//! Inputs: the operators' records, one for each data centre that is evacuated, with their revisions.
//!
//! Rules:
//! 1. From the moment that a daemon knows the record, no request of its own goes to an endpoint there:
//!    not a first try, not a retry, hedge or resumption. What runs there goes on to its end. Daemons of that
//!    data centre serve their clients through endpoints elsewhere.
//! 2. When the record goes, its endpoints are used again. They may have turned cold meanwhile without
//!    having said so yet, so that each counts as cold for as long as its service's endpoints stay cold after
//!    a start ([`super::cold_start`]).
//! 3. With every data centre evacuated no endpoint is left, and requests are refused: the operators asked for
//!    that. A daemon that is cut off acts on what it knows until its configuration is too old to serve by.
//! 4. An older record never replaces a newer one, in whatever order they come.
//!
//! Reason: operators take power or network from a data centre that they have emptied; what is sent there
//! afterwards is lost.
//!
//! Tests: `evacuation.rs`.

use crate::control::source::Revision;
use bridgevane_types::DataCentreId;
use std::collections::{HashMap, HashSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    revision: Revision,
    is_evacuated: bool,
}

/// Which data centres are evacuated, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    by_data_centre: HashMap<DataCentreId, Entry>,
    has_changed: bool,
}

impl Evacuations {
    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        let entry = self.by_data_centre.get(data_centre);
        entry.is_some_and(|entry| entry.is_evacuated)
    }

    /// Operators evacuate a data centre; false when that was known, or is no longer so.
    pub fn begin(&mut self, data_centre: &DataCentreId, revision: Revision) -> bool {
        self.set(data_centre, revision, true)
    }

    /// Operators take a data centre back; false when that was known, or is no longer so.
    pub fn end(&mut self, data_centre: &DataCentreId, revision: Revision) -> bool {
        self.set(data_centre, revision, false)
    }

    /// A whole state at `revision` lists these: gives the evacuations that are over by it.
    pub fn unlisted(
        &self,
        listed: &HashSet<DataCentreId>,
        revision: Revision,
    ) -> Vec<DataCentreId> {
        let entries = self.by_data_centre.iter();
        let over = entries.filter(|(data_centre, entry)| {
            entry.is_evacuated && entry.revision <= revision && !listed.contains(*data_centre)
        });
        over.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Whether one has begun or ended since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    fn set(&mut self, data_centre: &DataCentreId, revision: Revision, is_evacuated: bool) -> bool {
        let known = self.by_data_centre.get(data_centre).copied();
        if known.is_some_and(|known| known.revision > revision) {
            return false;
        }
        let entry = Entry {
            revision,
            is_evacuated,
        };
        self.by_data_centre.insert(data_centre.clone(), entry);
        let is_news = known.is_some_and(|known| known.is_evacuated) != is_evacuated;
        self.has_changed |= is_news;
        is_news
    }
}
