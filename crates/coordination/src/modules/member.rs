//! The state of one member, and how updates change it.

use bridgevane_types::{Incarnation, TimeMs, VmId};
use derive_more::Display;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The state of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The node is running.
    #[display("alive")]
    Alive,
    /// The node is running and takes no new work.
    #[display("leaving")]
    Leaving,
    /// Some node gets no messages from it; this is not confirmed yet.
    #[display("suspect")]
    Suspect,
    /// The node's death is confirmed.
    #[display("dead")]
    Dead,
}

/// An update about a node that nodes send each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The VM of the node that the update is about.
    pub vm: VmId,
    /// The address at which the node listens for other nodes.
    pub address: SocketAddr,
    /// The node's incarnation; a replacement of a VM under the same name has a higher one.
    pub incarnation: Incarnation,
    /// The number of suspicions that this incarnation has refuted.
    pub refutation: u32,
    /// The node's state.
    pub state: MemberState,
    /// The node that suspects it, if the state is [`MemberState::Suspect`].
    pub accuser: Option<VmId>,
}

/// A known node other than this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// The address at which the node listens for other nodes.
    pub address: SocketAddr,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    pub(super) refutation: u32,
    /// The node's state, apart from leaving.
    pub state: MemberState,
    pub(super) is_leaving: bool,
    pub(super) accusers: BTreeSet<VmId>,
    pub(super) suspected_at: TimeMs,
    pub(super) last_contact_at: TimeMs,
    pub(super) died_at: TimeMs,
    /// Whether a dead node gets heartbeats again because the platform's list shows it.
    pub(super) is_retried: bool,
    /// Multiplies the time until this node suspects the member; doubled whenever the member refutes
    /// this node's own suspicion.
    pub(super) suspicion_multiplier: u32,
}

/// The limit of the multiplier for a member whose refutations keep arriving through other nodes. A
/// daemon that receives messages late must still notice a death within seconds.
const MAX_SUSPICION_MULTIPLIER: u32 = 8;

/// Creates the state of a node whose current incarnation wasn't known before.
pub(super) fn new_member(address: SocketAddr, incarnation: Incarnation, now: TimeMs) -> Member {
    Member {
        address,
        incarnation,
        refutation: 0,
        state: MemberState::Alive,
        is_leaving: false,
        accusers: BTreeSet::new(),
        suspected_at: now,
        last_contact_at: now,
        died_at: now,
        is_retried: false,
        suspicion_multiplier: 1,
    }
}

/// Applies a refutation: removes all suspicions of the member.
pub(super) fn refute(member: &mut Member, own: &VmId, refutation: u32, now: TimeMs) {
    member.refutation = refutation;
    member.state = MemberState::Alive;
    member.is_leaving = false;
    if member.accusers.contains(own) {
        // The member is alive although this node gets nothing from it: the fault may be on this
        // node's side.
        member.suspicion_multiplier =
            (member.suspicion_multiplier * 2).min(MAX_SUSPICION_MULTIPLIER);
        member.last_contact_at = now;
    }
    member.accusers.clear();
}

/// Applies an update with the member's incarnation and refutation number; returns whether the
/// update changed the member.
pub(super) fn apply_update(member: &mut Member, update: &MemberUpdate, now: TimeMs) -> bool {
    match update.state {
        MemberState::Alive => false,
        MemberState::Leaving => {
            let is_new = !member.is_leaving;
            member.is_leaving = true;
            is_new
        }
        MemberState::Suspect => {
            if member.state == MemberState::Dead {
                return false;
            }
            if member.state != MemberState::Suspect {
                member.suspected_at = now;
            }
            member.state = MemberState::Suspect;
            let accuser = update.accuser.clone();
            accuser.is_some_and(|accuser| member.accusers.insert(accuser))
        }
        MemberState::Dead => {
            let is_new = member.state != MemberState::Dead;
            if is_new {
                member.state = MemberState::Dead;
                member.died_at = now;
            }
            is_new
        }
    }
}
