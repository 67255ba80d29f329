//! Rules that decide which endpoints may get a request at all, before [`super::endpoint`] compares
//! them.

pub mod backoff;
pub mod brittle;
pub mod cold_start;
pub mod evacuation;
pub mod leaving;
pub mod rate_limit;
pub mod region_limits;
pub mod stream_version;
pub mod version_registration;
