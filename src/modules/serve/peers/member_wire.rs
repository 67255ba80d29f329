//! Conversion of membership updates to and from messages.

use bridgevane_coordination::{MemberState, MemberUpdate};
use bridgevane_protocol::{MemberState as WireState, MemberUpdate as WireUpdate};
use bridgevane_types::{Incarnation, VmId};

/// Converts an update to a message.
pub(super) fn to_wire(update: MemberUpdate) -> WireUpdate {
    let state = match update.state {
        MemberState::Alive => WireState::Alive,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Dead => WireState::Dead,
    };
    WireUpdate {
        vm: update.vm.to_string(),
        peer_address: update.address.to_string(),
        incarnation: update.incarnation.0,
        refutation: update.refutation,
        state: state.into(),
        // Empty: no daemon suspects it.
        accuser: update.accuser.map(|vm| vm.to_string()).unwrap_or_default(),
    }
}

/// Converts a message to an update; `None` when the message is malformed.
pub(super) fn from_wire(update: &WireUpdate) -> Option<MemberUpdate> {
    let state = match update.state() {
        WireState::Unspecified => return None,
        WireState::Alive => MemberState::Alive,
        WireState::Leaving => MemberState::Leaving,
        WireState::Suspect => MemberState::Suspect,
        WireState::Dead => MemberState::Dead,
    };
    Some(MemberUpdate {
        vm: VmId::new(&update.vm),
        // A daemon without a valid address can't be reached: the update is malformed.
        address: update.peer_address.parse().ok()?,
        incarnation: Incarnation(update.incarnation),
        refutation: update.refutation,
        state,
        accuser: (!update.accuser.is_empty()).then(|| VmId::new(&update.accuser)),
    })
}
