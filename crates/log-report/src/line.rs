//! One line of a gateway's log, decoded.
//!
//! A line may stand behind a prefix of whoever gathered it, such as a VM's name or a time: what comes
//! before the first brace is passed over. Numbers come as numbers or as text.

use bridgevane_events::Event;
use derive_more::{Display, Error};
use serde::Deserialize;
use std::borrow::Cow;
use std::time::{SystemTime, UNIX_EPOCH};

/// Why a line is no event.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum Unread {
    /// No JSON object: another program's line, or one that was cut.
    #[display("no whole JSON object")]
    NotJson,
    /// No event number, or no time.
    #[display("without an event's number or time")]
    NoEvent,
    /// A number that this version doesn't know.
    #[display("an event of another version")]
    UnknownEvent,
    /// The daemon says that it dropped so many lines before this one.
    #[display("{_0} lines were dropped")]
    Dropped(#[error(not(source))] u64),
}

/// The fields that the report uses, as they stand in a line.
#[derive(Debug, Deserialize)]
struct RawLine<'a> {
    #[serde(borrow)]
    at: Option<Cow<'a, str>>,
    event: Option<u32>,
    /// Lines that the daemon dropped before this one.
    dropped: Option<u64>,
    #[serde(borrow)]
    vm: Option<Cow<'a, str>>,
    #[serde(borrow)]
    data_centre: Option<Cow<'a, str>>,
    #[serde(borrow)]
    request: Option<Cow<'a, str>>,
    #[serde(borrow)]
    endpoint: Option<Cow<'a, str>>,
    #[serde(borrow)]
    route: Option<Cow<'a, str>>,
    #[serde(borrow)]
    customer: Option<Cow<'a, str>>,
    #[serde(borrow)]
    reason: Option<Cow<'a, str>>,
    #[serde(borrow)]
    cause: Option<Cow<'a, str>>,
    #[serde(borrow)]
    resend: Option<Cow<'a, str>>,
    #[serde(borrow)]
    service: Option<Cow<'a, str>>,
    #[serde(borrow)]
    is_granted: Option<Cow<'a, str>>,
    #[serde(borrow)]
    peers: Option<Cow<'a, str>>,
    #[serde(borrow)]
    upstream: Option<Cow<'a, str>>,
    #[serde(borrow)]
    status: Option<Number<'a>>,
    #[serde(borrow)]
    runs: Option<Number<'a>>,
    #[serde(borrow)]
    queue_ms: Option<Number<'a>>,
    #[serde(borrow)]
    line_ms: Option<Number<'a>>,
}

/// A number, or a text that holds one.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Number<'a> {
    Value(u64),
    #[serde(borrow)]
    Text(Cow<'a, str>),
}

impl Number<'_> {
    fn value(&self) -> Option<u64> {
        match self {
            Self::Value(value) => Some(*value),
            Self::Text(text) => text.parse().ok(),
        }
    }
}

/// A line of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// When it was written, in milliseconds since 1970, by the clock of its VM.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
    /// The VM that wrote it.
    pub vm: Option<Cow<'a, str>>,
    /// That VM's data centre.
    pub data_centre: Option<Cow<'a, str>>,
    /// The request.
    pub request: Option<Cow<'a, str>>,
    /// The endpoint.
    pub endpoint: Option<Cow<'a, str>>,
    /// The request's route.
    pub route: Option<Cow<'a, str>>,
    /// Its customer.
    pub customer: Option<Cow<'a, str>>,
    /// Why the daemon refused it, or how an attempt or a stream failed.
    pub cause: Option<Cow<'a, str>>,
    /// Whether it was sent again: "yes", or why not.
    pub resend: Option<Cow<'a, str>>,
    /// The service that was asked for.
    pub service: Option<Cow<'a, str>>,
    /// Whether the retry budget granted a retry.
    pub is_granted: Option<bool>,
    /// The address at which the daemon answers others.
    pub peers: Option<Cow<'a, str>>,
    /// Whom the daemon follows: another one's address, or the control source.
    pub upstream: Option<Cow<'a, str>>,
    /// The status of an answer.
    pub status: Option<u64>,
    /// Attempts that ran, or may have run.
    pub runs: Option<u64>,
    /// The queue that was expected at the endpoint, in milliseconds.
    pub queue_ms: Option<u64>,
}

/// Decodes a line.
///
/// # Errors
/// [`Unread`] when it is no event.
pub(crate) fn decode(line: &str) -> Result<LogLine<'_>, Unread> {
    let start = line.find('{').ok_or(Unread::NotJson)?;
    let raw: RawLine<'_> =
        serde_json::from_str(line[start..].trim_end()).map_err(|_| Unread::NotJson)?;
    if let Some(dropped) = raw.dropped {
        return Err(Unread::Dropped(dropped));
    }
    let number = raw.event.ok_or(Unread::NoEvent)?;
    let at = raw.at.as_deref().ok_or(Unread::NoEvent)?;
    let at = humantime::parse_rfc3339(at).map_err(|_| Unread::NoEvent)?;
    let event = Event::from_number(number).ok_or(Unread::UnknownEvent)?;
    let queue = raw.queue_ms.or(raw.line_ms);
    Ok(LogLine {
        at_ms: since_1970_ms(at),
        event,
        vm: raw.vm,
        data_centre: raw.data_centre,
        request: raw.request,
        endpoint: raw.endpoint,
        route: raw.route,
        customer: raw.customer,
        cause: raw.reason.or(raw.cause),
        resend: raw.resend,
        service: raw.service,
        is_granted: raw.is_granted.and_then(|text| text.parse().ok()),
        peers: raw.peers,
        upstream: raw.upstream,
        status: raw.status.as_ref().and_then(Number::value),
        runs: raw.runs.as_ref().and_then(Number::value),
        queue_ms: queue.as_ref().and_then(Number::value),
    })
}

fn since_1970_ms(at: SystemTime) -> u64 {
    // A clock before 1970 counts as 1970.
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
