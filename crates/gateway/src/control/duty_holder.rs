//! The daemon that holds the duties, according to this daemon's replica.

use crate::control::holder_record::HolderRecord;
use crate::control::source::{Revision, SourceEra};
use crate::decisions::duties::tenure::Vacancy;
use bridgevane_types::TimeMs;

/// What this daemon knows of the holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum HolderView {
    /// The replica hasn't been read yet.
    #[default]
    Unknown,
    /// No daemon holds the duties.
    Vacant(Vacancy),
    /// The duties have this holder.
    Held(HolderRecord),
}

/// The view and its revision. A view of an older revision never replaces a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct HolderEntry {
    revision: Revision,
    view: HolderView,
}

impl HolderEntry {
    pub(crate) fn view(&self) -> &HolderView {
        &self.view
    }

    /// Returns when this daemon saw that the source had come back from a copy in this era; `None` if it
    /// hasn't, or if another daemon has held the duties since.
    pub(crate) fn restored_at(&self, era: SourceEra) -> Option<TimeMs> {
        match self.view {
            HolderView::Vacant(vacancy)
                if vacancy.is_after_restore && self.revision.era() == era =>
            {
                Some(vacancy.since)
            }
            _ => None,
        }
    }

    /// Returns the entry after a daemon has become the holder.
    pub(crate) fn with_holder(&self, revision: Revision, holder: HolderRecord) -> Self {
        if revision < self.revision {
            return self.clone();
        }
        Self {
            revision,
            view: HolderView::Held(holder),
        }
    }

    /// Returns the entry after the holder's key was removed.
    pub(crate) fn without_holder(&self, revision: Revision, now: TimeMs) -> Self {
        if revision < self.revision {
            return self.clone();
        }
        // Where this is the first view, the source may have come back just now.
        let is_after_restore = revision.era() > self.revision.era();
        let vacancy = match self.view {
            HolderView::Vacant(vacancy) if !is_after_restore => vacancy,
            _ => Vacancy {
                since: now,
                is_after_restore,
            },
        };
        Self {
            revision,
            view: HolderView::Vacant(vacancy),
        }
    }
}
