//! Decodes one line of a gateway's log.
//!
//! Log collectors may add a prefix, such as a VM's name or a time: everything before the first
//! brace is ignored. Numbers may be JSON numbers or text.

use bridgevane_events::Event;
use derive_more::{Display, Error};
use serde::Deserialize;
use std::borrow::Cow;
use std::time::{SystemTime, UNIX_EPOCH};

/// The reason why a line isn't an event.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum Unread {
    /// The line isn't a JSON object: it is another program's, or was cut.
    #[display("no whole JSON object")]
    NotJson,
    /// The line has no event number or no time.
    #[display("without an event's number or time")]
    NoEvent,
    /// The event number is unknown to this version.
    #[display("an event of another version")]
    UnknownEvent,
    /// The daemon reports that it dropped this number of lines before this one.
    #[display("{_0} lines were dropped")]
    Dropped(#[error(not(source))] u64),
}

/// The fields of a line that the report uses.
#[derive(Debug, Deserialize)]
struct RawLine<'a> {
    #[serde(borrow)]
    at: Option<Cow<'a, str>>,
    event: Option<u32>,
    /// The number of lines that the daemon dropped before this one.
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
    #[serde(borrow)]
    second: Option<Number<'a>>,
    #[serde(borrow)]
    served: Option<Number<'a>>,
    #[serde(borrow)]
    served_by_daemons: Option<Number<'a>>,
    #[serde(borrow)]
    server_errors: Option<Number<'a>>,
    #[serde(borrow)]
    refused: Option<Number<'a>>,
    #[serde(borrow)]
    broken_off: Option<Number<'a>>,
    #[serde(borrow)]
    clients_left: Option<Number<'a>>,
}

impl RawLine<'_> {
    fn tries(&self) -> EndedTries {
        let count = |number: &Option<Number<'_>>| {
            let value = number.as_ref().and_then(Number::value);
            value.unwrap_or_default()
        };
        EndedTries {
            served: count(&self.served),
            served_by_daemons: count(&self.served_by_daemons),
            server_errors: count(&self.server_errors),
            refused: count(&self.refused),
            broken_off: count(&self.broken_off),
            clients_left: count(&self.clients_left),
        }
    }
}

/// The numbers of clients' requests that ended, by outcome; 0 in lines that don't count them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndedTries {
    /// With a complete answer of an endpoint that is no server error.
    pub served: u64,
    /// Those of `served` whose answer came through another daemon.
    pub served_by_daemons: u64,
    /// With a server error of an endpoint.
    pub server_errors: u64,
    /// With a refusal of a daemon.
    pub refused: u64,
    /// With an answer that was broken off.
    pub broken_off: u64,
    /// Whose client left before the end of the answer.
    pub clients_left: u64,
}

/// A number, or a text that contains one.
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

/// The decoded line of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// The time at which it was written, in Unix milliseconds of its VM's clock.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
    /// The VM that wrote it.
    pub vm: Option<Cow<'a, str>>,
    /// That VM's data centre.
    pub data_centre: Option<Cow<'a, str>>,
    /// The id of the request.
    pub request: Option<Cow<'a, str>>,
    /// The id of the endpoint.
    pub endpoint: Option<Cow<'a, str>>,
    /// The request's route.
    pub route: Option<Cow<'a, str>>,
    /// The request's customer.
    pub customer: Option<Cow<'a, str>>,
    /// The reason of a refusal, or of the failure of an attempt or a stream.
    pub cause: Option<Cow<'a, str>>,
    /// Whether the request was sent again: "yes", or the reason why not.
    pub resend: Option<Cow<'a, str>>,
    /// The requested service.
    pub service: Option<Cow<'a, str>>,
    /// Whether the retry budget granted a retry.
    pub is_granted: Option<bool>,
    /// The daemon's address for other daemons.
    pub peers: Option<Cow<'a, str>>,
    /// The daemon's upstream: the address of another daemon, or the control source.
    pub upstream: Option<Cow<'a, str>>,
    /// The status of an answer.
    pub status: Option<u64>,
    /// The number of attempts that ran or may have run.
    pub runs: Option<u64>,
    /// The expected queueing time at the endpoint, in milliseconds.
    pub queue_ms: Option<u64>,
    /// The second of arrival that counts are about, in Unix seconds.
    pub second: Option<u64>,
    /// Counts of requests that ended.
    pub tries: EndedTries,
}

/// Decodes a line.
///
/// # Errors
/// [`Unread`] if the line isn't an event.
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
    let second = raw.second.as_ref().and_then(Number::value);
    let tries = raw.tries();
    let queue = raw.queue_ms.or(raw.line_ms);
    Ok(LogLine {
        tries,
        second,
        at_ms: unix_ms(at),
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

fn unix_ms(at: SystemTime) -> u64 {
    // A clock before 1970 counts as 1970.
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
