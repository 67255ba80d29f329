//! Freshness: a request is passed on only while the configuration is proved to be recent.
//!
//! Inputs: the age of the newest proof (ms) and how long a proof lasts (ms, `--key-removal-ms` less
//! 300). A proof is an answer of the control source. It counts from the moment of the *question*,
//! so that the time the answer took counts against it; passed on between daemons it keeps its age.
//!
//! Rule: fresh while the age is below the lifetime; a daemon without a proof isn't.
//!
//! Reason: a key that was removed must stop working within a bound on every VM, also on one that is
//! cut off from the source. 401 and 404 are final for a client, so they need a fresh configuration,
//! too; without one the answer is 503.
//!
//! A daemon that has only just started has no proof yet, and its first one is due in a moment: a
//! request waits for it a little, since its client may come back only once.
//!
//! Measured: commit 45ec449 (requests refused in the two seconds after all daemons were killed: 430
//! and 446 of about 1,000 before, 105 after).
//!
//! Tests: `admission.rs::a_proof_ages…`, `freshness.rs`.

use bridgevane_types::DurationMs;

/// The longest that a request waits for a daemon that starts. Not measured by itself: first
/// configurations came 0.2 to 0.4 s after a start (commit 45ec449). Half would refuse some of these
/// requests; twice would hold the others longer for nothing.
const MAX_STARTUP_WAIT: DurationMs = DurationMs(500);
/// The part of the client's time that it waits at most. Not measured, chosen because the rest must
/// do for the request itself.
const MAX_STARTUP_WAIT_SHARE: f64 = 0.25;

/// Whether the configuration may be acted on.
pub fn is_fresh(proof_age: Option<DurationMs>, proof_lifetime: DurationMs) -> bool {
    proof_age.is_some_and(|age| age < proof_lifetime)
}

/// How long a request waits for the first proof of a daemon that starts; `client_timeout` is the
/// time that its client gives it, if it says.
pub fn startup_wait(client_timeout: Option<DurationMs>) -> std::time::Duration {
    let limit = MAX_STARTUP_WAIT.as_std();
    let share = client_timeout.map(|timeout| timeout.as_std().mul_f64(MAX_STARTUP_WAIT_SHARE));
    share.map_or(limit, |share| share.min(limit))
}
