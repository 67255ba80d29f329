//! Rules between daemons, and between a daemon and the control source.
//!
//! Their state is in `replication::fleet`, `replication::follow` and `control::state`.

mod candidates;
pub mod completeness;
pub mod fleet_size;
pub mod followers;
pub mod hold;
mod parent;
pub mod proof_limits;
pub mod record_expiry;
mod seeds;
pub mod source_pacing;
pub mod source_path;
pub mod upstream;
