//! The head of an endpoint's answer: whose it is, what it says of load and of the connection.
//!
//! Owns nothing; a header that can't be decoded counts as absent, and is logged.

use crate::decisions::eligibility::rate_limit::{self, NamedLimit};
use crate::decisions::endpoint::idle_connections;
use crate::decisions::endpoint::load_report::ReportedLoad;
use crate::decisions::resend::AttemptError;
use crate::header_names::HeaderNames;
use crate::unreadable_headers::HeaderReader;
use bridgevane_types::{DurationMs, RequestsPerSecond};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode, response};
use std::time::Duration;

/// Says how long an endpoint keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The longest time that counts as one, in seconds. Longer ones are taken for errors of the endpoint.
const MAX_RETRY_AFTER_S: f64 = 3_600.0;

/// Checks that an answer belongs to the request, and that the request ran.
///
/// # Errors
/// [`AttemptError`] when it doesn't, or the endpoint says that it did not run it.
pub(crate) fn check(
    names: &HeaderNames,
    request_id: &HeaderValue,
    head: &response::Parts,
) -> Result<(), AttemptError> {
    // Before the header of one that has not run it, which may come along: it isn't full, it is another one.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Misdirected);
    }
    if head.headers.contains_key(&names.not_executed) {
        return Err(AttemptError::NotExecuted);
    }
    if head.headers.get(&names.request_id) != Some(request_id) {
        return Err(AttemptError::Crossed);
    }
    Ok(())
}

/// The header names no time that an endpoint could mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotATime;

/// When to come back, as the endpoint says; fractions of seconds are allowed.
fn retry_after(headers: &HeaderReader<'_>) -> Option<DurationMs> {
    let seconds: f64 = headers.parsed(&RETRY_AFTER)?;
    let is_time = (0.0..=MAX_RETRY_AFTER_S).contains(&seconds);
    let seconds = headers.decoded(&RETRY_AFTER, is_time.then_some(seconds).ok_or(NotATime))?;
    Some(DurationMs((seconds * 1_000.0).ceil() as u64))
}

/// How long the answer's endpoint wants nothing from this daemon, if it turns the request away and says so.
pub(crate) fn wanted_rest(
    names: &HeaderNames,
    status: StatusCode,
    headers: &HeaderReader<'_>,
) -> Option<DurationMs> {
    let is_turned_away =
        status == StatusCode::SERVICE_UNAVAILABLE || headers.has(&names.not_executed);
    if !is_turned_away || !headers.has(&RETRY_AFTER) {
        return None;
    }
    retry_after(headers)
}

/// The load that the endpoint reports, if it does.
pub(crate) fn reported_load(
    names: &HeaderNames,
    headers: &HeaderReader<'_>,
) -> Option<ReportedLoad> {
    let text = headers.text(&names.load)?;
    headers.decoded(&names.load, load_report(text))
}

/// The text is no load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotALoadReport;

/// Reads "running,waiting"; more fields may follow.
fn load_report(text: &str) -> Result<ReportedLoad, NotALoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse());
    let mut next = || match numbers.next() {
        Some(Ok(number)) => Ok(number),
        _ => Err(NotALoadReport),
    };
    Ok(ReportedLoad {
        running: next()?,
        waiting: next()?,
    })
}

/// The header names no rate that an endpoint could mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotARate;

/// Whether the answer's endpoint says that it leaves.
pub(crate) fn says_it_leaves(names: &HeaderNames, headers: &HeaderReader<'_>) -> bool {
    let leaves: Option<u8> = headers.parsed(&names.leaving);
    leaves.is_some_and(|leaves| leaves != 0)
}

/// The limit that the answer's endpoint names.
pub(crate) fn named_limit(names: &HeaderNames, headers: &HeaderReader<'_>) -> NamedLimit {
    if !headers.has(&names.rate_limit) {
        return NamedLimit::None;
    }
    let rate = headers.parsed(&names.rate_limit).and_then(|rate: f64| {
        let limit = rate_limit::checked(RequestsPerSecond(rate));
        headers.decoded(&names.rate_limit, limit.ok_or(NotARate))
    });
    rate.map_or(NamedLimit::Unreadable, NamedLimit::Of)
}

/// Whether only the end of the connection marks the end of the body.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// How long the answer's connection may be idle; none: it can't be used again.
pub(crate) fn idle_timeout(headers: &HeaderReader<'_>) -> Option<DurationMs> {
    let closes = headers.text(&CONNECTION);
    if closes.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    idle_connections::idle_timeout(announced_idle_timeout(headers))
}

/// The idle timeout in `Keep-Alive: timeout=SECONDS`, among other parameters.
fn announced_idle_timeout(headers: &HeaderReader<'_>) -> Option<Duration> {
    let parameters = headers.text(&KEEP_ALIVE)?.split(',');
    let mut parameters = parameters.map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    let seconds = headers.decoded(&KEEP_ALIVE, seconds.trim().parse())?;
    Some(Duration::from_secs(seconds))
}
