//! Who holds the duties, as this daemon's replica has it.

use crate::control::source::Revision;
use crate::decisions::duties::usage_collection::DaemonLife;
use bridgevane_protocol::DutyHolder;
use bridgevane_types::{Incarnation, TimeMs, VmId};
use bytes::Bytes;
use prost::{DecodeError, Message};
use std::net::SocketAddr;

/// The holder, as it wrote itself into the control source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderRecord {
    /// The daemon.
    pub daemon: DaemonLife,
    /// Where other daemons reach it; none: nowhere.
    pub peer_address: Option<SocketAddr>,
}

impl HolderRecord {
    /// The holder that a value of the control source names.
    ///
    /// # Errors
    /// When the value is no such record.
    pub fn decode(value: &Bytes) -> Result<Self, DecodeError> {
        let message = DutyHolder::decode(value.clone())?;
        Ok(Self {
            daemon: DaemonLife {
                vm: VmId::from(message.vm.as_str()),
                incarnation: Incarnation(message.incarnation),
            },
            // An empty text, or one that is no address: nobody can reach it.
            peer_address: message.peer_address.parse().ok(),
        })
    }

    /// The value that names this holder.
    pub(crate) fn encode(&self) -> Bytes {
        let address = self.peer_address;
        let message = DutyHolder {
            vm: self.daemon.vm.to_string(),
            incarnation: self.daemon.incarnation.0,
            peer_address: address.map_or_else(String::new, |address| address.to_string()),
        };
        message.encode_to_vec().into()
    }
}

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
