//! The head of an endpoint's answer: checks that the answer belongs to the request, and decodes what
//! its headers say about the endpoint and the connection.
//!
//! Owns nothing. A header that can't be decoded counts as absent, and is logged.

use crate::decisions::eligibility::brittle;
use crate::decisions::eligibility::rate_limit::{self, AnnouncedLimit};
use crate::decisions::endpoint::engine_pace::WorkTime;
use crate::decisions::endpoint::idle_connections;
use crate::decisions::endpoint::load_report::ReportedLoad;
use crate::decisions::resend::AttemptError;
use crate::header_names::HeaderNames;
use crate::requests::answer_validity;
use crate::unreadable_headers::HeaderReader;
use bridgevane_types::{DurationMs, RequestsPerSecond};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode, response};
use std::time::Duration;

/// The header that says how long an endpoint keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The longest accepted `Retry-After`, in seconds. Longer ones count as errors of the endpoint.
const MAX_RETRY_AFTER_S: f64 = 3_600.0;

/// Checks that an answer belongs to the request, that the request ran, and that a success is signed.
///
/// An identifier of another request goes before all else that the answer says: it is a late surplus
/// answer, and the request that was sent may run. A refusal without an identifier is believed, on a
/// connection that was used before, too: endpoints refuse without one, and surplus answers have
/// theirs.
///
/// # Errors
/// [`AttemptError`] if the answer belongs to another request, the endpoint says that it did not run
/// this one, or it is a success without a signature.
pub(crate) fn check(
    names: &HeaderNames,
    request_id: &HeaderValue,
    head: &response::Parts,
) -> Result<(), AttemptError> {
    let mut ids = head.headers.get_all(&names.request_id).iter();
    if ids.any(|id| id != request_id) {
        return Err(AttemptError::Crossed);
    }
    // Checked before the "not executed" header, which may come with it: the endpoint isn't full, it
    // is a different one.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Misdirected);
    }
    if head.headers.contains_key(&names.not_executed) {
        return Err(AttemptError::NotExecuted);
    }
    if !head.headers.contains_key(&names.request_id) {
        return Err(AttemptError::Crossed);
    }
    answer_validity::check_signature(names, head)
}

/// The error for a `Retry-After` header outside of the accepted range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidRetryAfter;

/// Returns the time in the `Retry-After` header; fractions of seconds are allowed.
pub(crate) fn retry_after(headers: &HeaderReader<'_>) -> Option<DurationMs> {
    let seconds: f64 = headers.parsed(&RETRY_AFTER)?;
    let is_valid = (0.0..=MAX_RETRY_AFTER_S).contains(&seconds);
    let seconds = headers.decoded(
        &RETRY_AFTER,
        is_valid.then_some(seconds).ok_or(InvalidRetryAfter),
    )?;
    Some(DurationMs((seconds * 1_000.0).ceil() as u64))
}

/// Returns the back-off that an endpoint asks of this daemon: the `Retry-After` of an answer that
/// refuses the request.
pub(crate) fn requested_backoff(
    names: &HeaderNames,
    status: StatusCode,
    headers: &HeaderReader<'_>,
) -> Option<DurationMs> {
    let is_refused = status == StatusCode::SERVICE_UNAVAILABLE || headers.has(&names.not_executed);
    if !is_refused || !headers.has(&RETRY_AFTER) {
        return None;
    }
    retry_after(headers)
}

/// Returns the load that the endpoint reports, if it does.
pub(crate) fn reported_load(
    names: &HeaderNames,
    headers: &HeaderReader<'_>,
) -> Option<ReportedLoad> {
    let text = headers.text(&names.load)?;
    let load = headers.decoded(&names.load, load_report(text))?;
    // A load without a valid work time still counts.
    let work_time = headers.decoded(&names.load, work_time(text)).flatten();
    Some(ReportedLoad { work_time, ..load })
}

/// The error for a malformed load header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidLoadReport;

/// Parses "running,waiting"; the number of slots and the work time may follow.
fn load_report(text: &str) -> Result<ReportedLoad, InvalidLoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse());
    let mut next = || match numbers.next() {
        Some(Ok(number)) => Ok(number),
        _ => Err(InvalidLoadReport),
    };
    Ok(ReportedLoad {
        running: next()?,
        waiting: next()?,
        work_time: None,
    })
}

/// The position of the work time in a load header.
const WORK_TIME_POSITION: usize = 3;

/// Returns the work time in a load header, if there is one.
fn work_time(text: &str) -> Result<Option<WorkTime>, InvalidLoadReport> {
    let Some(figure) = text.split(',').nth(WORK_TIME_POSITION) else {
        return Ok(None);
    };
    let figure = figure.trim().parse().map_err(|_| InvalidLoadReport)?;
    let work_time = WorkTime::new(figure).ok_or(InvalidLoadReport)?;
    Ok(Some(work_time))
}

/// The error for a rate limit outside of the accepted range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidRateLimit;

/// Returns whether the endpoint announces that it is leaving.
pub(crate) fn announces_leaving(names: &HeaderNames, headers: &HeaderReader<'_>) -> bool {
    let leaves: Option<u8> = headers.parsed(&names.leaving);
    leaves.is_some_and(|leaves| leaves != 0)
}

/// Returns the rate limit in the endpoint's answer.
pub(crate) fn announced_limit(names: &HeaderNames, headers: &HeaderReader<'_>) -> AnnouncedLimit {
    announced_rate(&names.rate_limit, headers)
}

/// Returns the rate of requests that may be turned away by an endpoint whose answer announces that
/// it is brittle.
pub(crate) fn brittle_permit_rate(
    names: &HeaderNames,
    headers: &HeaderReader<'_>,
) -> AnnouncedLimit {
    match announced_rate(&names.brittle, headers) {
        AnnouncedLimit::Limit(max) => AnnouncedLimit::Limit(brittle::permit_rate(max)),
        other => other,
    }
}

/// Returns the requests per second in a header.
fn announced_rate(name: &HeaderName, headers: &HeaderReader<'_>) -> AnnouncedLimit {
    if !headers.has(name) {
        return AnnouncedLimit::None;
    }
    let rate = headers.parsed(name).and_then(|rate: f64| {
        let limit = rate_limit::valid_limit(RequestsPerSecond(rate));
        headers.decoded(name, limit.ok_or(InvalidRateLimit))
    });
    rate.map_or(AnnouncedLimit::Unreadable, AnnouncedLimit::Limit)
}

/// Returns whether only the end of the connection marks the end of the body.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the endpoint announces the end of the connection.
pub(crate) fn closes_connection(headers: &HeaderReader<'_>) -> bool {
    let closes = headers.text(&CONNECTION);
    closes.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Returns how long the answer's connection may be idle; `None` if it can't be reused.
pub(crate) fn idle_timeout(headers: &HeaderReader<'_>) -> Option<DurationMs> {
    if closes_connection(headers) {
        return None;
    }
    idle_connections::idle_timeout(announced_idle_timeout(headers))
}

/// Returns the idle timeout in `Keep-Alive: timeout=SECONDS`, which may have other parameters.
fn announced_idle_timeout(headers: &HeaderReader<'_>) -> Option<Duration> {
    let parameters = headers.text(&KEEP_ALIVE)?.split(',');
    let mut parameters = parameters.map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    let seconds = headers.decoded(&KEEP_ALIVE, seconds.trim().parse())?;
    Some(Duration::from_secs(seconds))
}
