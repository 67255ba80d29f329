//! What is known of one node, and what updates change about it.

use bridgevane_types::{Incarnation, TimeMs, VmId};
use derive_more::Display;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What is said of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It lives.
    #[display("alive")]
    Alive,
    /// It lives and takes no new work.
    #[display("leaving")]
    Leaving,
    /// Some node doesn't hear it.
    #[display("suspect")]
    Suspect,
    /// It is confirmed to be gone.
    #[display("dead")]
    Dead,
}

/// An update that travels between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The node.
    pub vm: VmId,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Its life: a VM that was replaced under its name has a higher one.
    pub incarnation: Incarnation,
    /// How often it has refuted suspicions in this life.
    pub refutation: u32,
    /// What is said.
    pub state: MemberState,
    /// Who suspects it.
    pub accuser: Option<VmId>,
}

/// What is known of a node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    pub(super) refutation: u32,
    /// What it is.
    pub state: MemberState,
    pub(super) is_leaving: bool,
    pub(super) accusers: BTreeSet<VmId>,
    pub(super) suspected_at: TimeMs,
    pub(super) heard_at: TimeMs,
    pub(super) died_at: TimeMs,
    /// Dead, and asked again because the platform's list shows it.
    pub(super) is_retried: bool,
    /// Doubled whenever it refutes this node's own suspicion.
    pub(super) patience: u32,
}

/// The longest patience with a node whose refutations keep coming by way of others. Not measured,
/// chosen because a daemon that hears late itself must still notice a death within seconds.
const MAX_PATIENCE: u32 = 8;

/// A node that is heard of for the first time in this life.
pub(super) fn new_member(address: SocketAddr, incarnation: Incarnation, now: TimeMs) -> Member {
    Member {
        address,
        incarnation,
        refutation: 0,
        state: MemberState::Alive,
        is_leaving: false,
        accusers: BTreeSet::new(),
        suspected_at: now,
        heard_at: now,
        died_at: now,
        is_retried: false,
        patience: 1,
    }
}

/// The node has refuted: accusations of before no longer hold.
pub(super) fn refute(member: &mut Member, own: &VmId, refutation: u32, now: TimeMs) {
    member.refutation = refutation;
    member.state = MemberState::Alive;
    member.is_leaving = false;
    if member.accusers.contains(own) {
        // It lives, though it isn't heard here: the fault may be this node's own.
        member.patience = (member.patience * 2).min(MAX_PATIENCE);
        member.heard_at = now;
    }
    member.accusers.clear();
}

/// Applies an update of the same life and refutation; true when it tells something new.
pub(super) fn apply(member: &mut Member, update: &MemberUpdate, now: TimeMs) -> bool {
    match update.state {
        MemberState::Alive => false,
        MemberState::Leaving => {
            let is_news = !member.is_leaving;
            member.is_leaving = true;
            is_news
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
            let is_news = member.state != MemberState::Dead;
            if is_news {
                member.state = MemberState::Dead;
                member.died_at = now;
            }
            is_news
        }
    }
}
