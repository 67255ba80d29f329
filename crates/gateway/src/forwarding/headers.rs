//! Headers that daemons add to forwarded requests and their answers. They never reach a client or an
//! endpoint.

use crate::decisions::admission::refusal::RefusalReason;
use crate::decisions::eligibility::stream_version::VersionHash;
use http::{HeaderMap, HeaderName, HeaderValue};

/// On requests: the number of attempts that ran or may have run.
const RUNS: HeaderName = HeaderName::from_static("bridgevane-runs");
/// On requests: the number of all attempts.
const ATTEMPTS: HeaderName = HeaderName::from_static("bridgevane-attempts");
/// On requests that resume a stream: the hash of the software version that began it, in hexadecimal.
const VERSION: HeaderName = HeaderName::from_static("bridgevane-stream-version");
/// On answers that are a daemon's own refusal: its reason.
const REFUSAL: HeaderName = HeaderName::from_static("bridgevane-refusal");

/// Sets the number of attempts that ran or may have run.
pub(crate) fn set_runs(headers: &mut HeaderMap, runs: u32) {
    headers.insert(RUNS, HeaderValue::from(runs));
}

/// Returns the number of attempts that ran or may have run. One that can't be read counts as many:
/// the request isn't repeated.
pub(crate) fn runs(headers: &HeaderMap) -> u32 {
    let Some(value) = headers.get(&RUNS) else {
        return 0;
    };
    let runs = value.to_str().ok().and_then(|text| text.parse().ok());
    runs.unwrap_or(u32::MAX)
}

/// Sets the number of all attempts.
pub(crate) fn set_attempts(headers: &mut HeaderMap, attempts: u32) {
    headers.insert(ATTEMPTS, HeaderValue::from(attempts));
}

/// Returns the number of all attempts; 0 if it can't be read, as from a daemon that doesn't send it.
pub(crate) fn attempts(headers: &HeaderMap) -> u32 {
    let text = headers.get(&ATTEMPTS).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Sets the software version that began the stream.
pub(crate) fn set_version(headers: &mut HeaderMap, version: VersionHash) {
    // Hexadecimal digits are always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&version.to_string()) {
        headers.insert(VERSION, value);
    }
}

/// Returns the software version that began the stream; `None` if it can't be read, which counts as
/// unknown.
pub(crate) fn version(headers: &HeaderMap) -> Option<VersionHash> {
    let text = headers.get(&VERSION)?.to_str().ok()?;
    u32::from_str_radix(text, 16).ok().map(VersionHash)
}

/// Marks an answer as a daemon's own refusal.
pub(crate) fn set_refusal(headers: &mut HeaderMap, reason: RefusalReason) {
    // A code of lower-case letters and underscores is always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&reason.to_string()) {
        headers.insert(REFUSAL, value);
    }
}

/// Returns the reason if an answer is a daemon's own refusal. An unknown reason of a later version
/// counts as an unknown outcome.
pub(crate) fn refusal_reason(headers: &HeaderMap) -> Option<RefusalReason> {
    let code = headers.get(&REFUSAL)?.to_str().ok();
    let reason = code.and_then(RefusalReason::from_code);
    Some(reason.unwrap_or(RefusalReason::OutcomeUnknown))
}

/// Removes the headers that only daemons may set.
pub(crate) fn remove(headers: &mut HeaderMap) {
    headers.remove(RUNS);
    headers.remove(ATTEMPTS);
    headers.remove(VERSION);
    headers.remove(REFUSAL);
}
