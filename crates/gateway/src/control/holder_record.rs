//! The record of the duties' holder in the control source, and its encoding.

use crate::decisions::duties::usage_collection::DaemonIncarnation;
use bridgevane_protocol::DutyHolder;
use bridgevane_types::{Incarnation, VmId};
use bytes::Bytes;
use prost::{DecodeError, Message};
use std::net::SocketAddr;

/// The holder, as it wrote itself into the control source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderRecord {
    /// The daemon that holds the duties.
    pub daemon: DaemonIncarnation,
    /// The address for other daemons; none if it can't be reached.
    pub peer_address: Option<SocketAddr>,
}

impl HolderRecord {
    /// Decodes a value of the control source.
    ///
    /// # Errors
    /// When the value isn't a holder's record.
    pub fn decode(value: &Bytes) -> Result<Self, DecodeError> {
        let message = DutyHolder::decode(value.clone())?;
        Ok(Self {
            daemon: DaemonIncarnation {
                vm: VmId::from(message.vm.as_str()),
                incarnation: Incarnation(message.incarnation),
            },
            // An empty or invalid address: other daemons can't reach the holder.
            peer_address: message.peer_address.parse().ok(),
        })
    }

    /// Encodes the record as a value of the control source.
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
