//! Who holds the duties, as this daemon's replica has it.

use crate::control::holder_record::HolderRecord;
use crate::control::source::Revision;
use bridgevane_types::TimeMs;

/// What is known of the holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum HolderView {
    /// Nothing yet.
    #[default]
    Unknown,
    /// Nobody holds the duties.
    Vacant {
        /// Since when, as far as this daemon saw.
        since: TimeMs,
    },
    /// This daemon does.
    Held(HolderRecord),
}

/// The view, and the revision that it is of: an older one never replaces a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct HolderEntry {
    revision: Revision,
    view: HolderView,
}

impl HolderEntry {
    pub(crate) fn view(&self) -> &HolderView {
        &self.view
    }

    /// The entry after a daemon has become the holder.
    pub(crate) fn with_holder(&self, revision: Revision, holder: HolderRecord) -> Self {
        if revision < self.revision {
            return self.clone();
        }
        Self {
            revision,
            view: HolderView::Held(holder),
        }
    }

    /// The entry after the key was seen to be gone.
    pub(crate) fn without_holder(&self, revision: Revision, now: TimeMs) -> Self {
        if revision < self.revision {
            return self.clone();
        }
        let since = match self.view {
            HolderView::Vacant { since } => since,
            _ => now,
        };
        Self {
            revision,
            view: HolderView::Vacant { since },
        }
    }
}
