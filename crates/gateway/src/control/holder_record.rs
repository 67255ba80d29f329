//! The holder's own record in the control source, and its value there.

use crate::decisions::duties::usage_collection::DaemonLife;
use bridgevane_protocol::DutyHolder;
use bridgevane_types::{Incarnation, VmId};
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
