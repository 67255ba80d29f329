//! Rules between daemons, and between a daemon and the control source.

pub mod fleet_size;
pub mod followers;
pub mod record_expiry;
pub mod upstream;
