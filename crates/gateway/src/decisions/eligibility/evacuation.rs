//! Evacuation: a data centre that operators evacuate gets no new requests at its endpoints.
//!
//! Inputs: the operators' records, one for each evacuated data centre, with their revisions.
//!
//! Rules:
//! 1. Once a daemon knows the record, it sends no request to an endpoint there: no first attempt,
//!    retry, hedge or resumption. Requests that run there are completed. Daemons of that data
//!    centre serve their clients through endpoints elsewhere.
//! 2. When the record is removed, the endpoints are used again. They may have turned cold meanwhile
//!    without having reported it yet, so each counts as cold for as long as its service's endpoints
//!    stay cold after a start ([`super::cold_start`]).
//! 3. If every data centre is evacuated, no endpoint is left and requests are refused, as the
//!    operators asked. A daemon that is cut off acts on the records it knows until its
//!    configuration is too old to serve by.
//! 4. An older record never replaces a newer one, in whatever order they arrive. A copy from which the
//!    store came back is older than what the daemon knows: it neither begins nor ends an evacuation.
//!
//! Reason: operators cut power or network of a data centre that they have evacuated; requests sent
//! there afterwards are lost.
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

/// The evacuated data centres known to this daemon.
#[derive(Debug, Default)]
pub struct Evacuations {
    by_data_centre: HashMap<DataCentreId, Entry>,
    has_changed: bool,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        let entry = self.by_data_centre.get(data_centre);
        entry.is_some_and(|entry| entry.is_evacuated)
    }

    /// Returns whether an evacuation of a data centre has ended.
    pub(crate) fn has_ended(&self, data_centre: &DataCentreId) -> bool {
        let entry = self.by_data_centre.get(data_centre);
        entry.is_some_and(|entry| !entry.is_evacuated)
    }

    /// Marks a data centre as evacuated; returns false if it already was, or a newer record says
    /// otherwise.
    pub fn begin(&mut self, data_centre: &DataCentreId, revision: Revision) -> bool {
        self.set(data_centre, revision, true)
    }

    /// Ends the evacuation of a data centre; returns false if it had ended, or a newer record says
    /// otherwise.
    pub fn end(&mut self, data_centre: &DataCentreId, revision: Revision) -> bool {
        self.set(data_centre, revision, false)
    }

    /// Returns the evacuations that have ended according to a full state at `revision` that lists
    /// `listed`. Those of `restored_at` or before may be missing in the copy from which the store came
    /// back.
    pub fn ended_in_full_state(
        &self,
        listed: &HashSet<DataCentreId>,
        restored_at: Revision,
        revision: Revision,
    ) -> Vec<DataCentreId> {
        let entries = self.by_data_centre.iter();
        let ended = entries.filter(|(data_centre, entry)| {
            let is_known_since = entry.revision > restored_at && entry.revision <= revision;
            entry.is_evacuated && is_known_since && !listed.contains(*data_centre)
        });
        ended.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Returns whether an evacuation has begun or ended since the last call.
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
        let is_change = known.is_some_and(|known| known.is_evacuated) != is_evacuated;
        self.has_changed |= is_change;
        is_change
    }
}
