//! Idempotency keys: the home of a key decides whether its call may run.

pub(crate) mod claims;
pub(crate) mod end_reports;
pub(crate) mod key_homes;
