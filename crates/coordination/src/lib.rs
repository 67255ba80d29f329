//! Coordination parts for fleets without a consensus group of their own.
//!
//! What must be agreed or kept lives in an outside key-value service; these parts hold what
//! many nodes need to act together on it, and to go on without it. All are pure: time,
//! messages and observations are passed in, effects come out, so that they can be embedded
//! under any transport and tested in virtual time.
//!
//! - [`Membership`]: who lives in this data centre, by heartbeats among a few neighbours;
//!   suspicion counts only when confirmed.
//! - [`ConfigReplica`]: the newest configuration, as deltas, never an older one.
//! - [`home_of`]: the one node that decides on a key, by rendezvous hashing.
//! - [`KeyRegistry`]: at most one run for each idempotency key.
//! - [`HeldLease`]: whether a lease's holder may still act, and with which fencing token.
//! - [`CallBudget`]: how often the outside service may be called.
//! - [`Rollout`]: a staged change of a model version that another node can carry on.
//!
//! ```
//! use bridgevane_coordination::home_of;
//! use bridgevane_types::VmId;
//!
//! let vms = [VmId::from("vm-1"), VmId::from("vm-2"), VmId::from("vm-3")];
//! let home = home_of("pool/tutor", vms.iter()).unwrap();
//! let rest: Vec<&VmId> = vms.iter().filter(|vm| *vm != home).collect();
//! // Without its home a key moves; keys of other homes stay where they are.
//! assert_ne!(home_of("pool/tutor", rest.into_iter()), Some(home));
//! ```

pub mod configs;
mod modules;

pub use modules::call_budget::{CallBudget, CallKind};
pub use modules::config_replica::{ConfigAnswer, ConfigReplica, NotAccepted};
pub use modules::held_lease::HeldLease;
pub use modules::key_registry::{Claim, KeyEnd, KeyMember, KeyRegistry, StoredAnswer, Verdict};
pub use modules::member::{Member, MemberState, MemberUpdate};
pub use modules::membership::{Membership, MembershipEffect};
pub use modules::rendezvous::home_of;
pub use modules::rollout::{Rollout, RolloutEffect, RolloutObservation, RolloutPlan, RolloutStage};
