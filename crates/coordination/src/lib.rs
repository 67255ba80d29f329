//! Coordination primitives for fleets without a consensus group of their own.
//!
//! State that needs agreement or durability is kept in an external key-value service. These
//! modules let many nodes act together on that state, and continue while the service is
//! unavailable. All of them are pure: time, messages and observations are passed in, effects are
//! returned, so that they can be embedded under any transport and tested in virtual time.
//!
//! - [`Membership`]: the live nodes of this data centre, by heartbeats among a few neighbours;
//!   a suspicion counts only when it is confirmed.
//! - [`ConfigReplica`]: the newest known configuration, updated by deltas, never replaced by an
//!   older version.
//! - [`home_of`]: the one node that decides on a key, by rendezvous hashing.
//! - [`KeyRegistry`]: at most one run for each idempotency key.
//! - [`HeldLease`]: whether the holder of a lease may still act, and its fencing token.
//! - [`CallBudget`]: how often a node may call the external service.
//! - [`Rollout`]: a staged change of a model version that another node can continue.
//!
//! ```
//! use bridgevane_coordination::home_of;
//! use bridgevane_types::VmId;
//!
//! let vms = [VmId::from("vm-1"), VmId::from("vm-2"), VmId::from("vm-3")];
//! let home = home_of("pool/tutor", vms.iter()).unwrap();
//! let rest: Vec<&VmId> = vms.iter().filter(|vm| *vm != home).collect();
//! // A key moves when its home is removed; the keys of other homes stay where they are.
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
pub use modules::rollout::{Rollout, RolloutObservation, RolloutOrder, RolloutPlan, RolloutStage};
