//! One attempt: a request is sent to one endpoint, and its answer's head is read.

use crate::decisions::placement::{PREFILL_TOKENS_PER_MS, Placed};
use crate::decisions::queue_delay::Pending;
use crate::endpoints::connection::{Connection, OpenError};
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::load::{LoadNow, ReportedLoad};
use crate::gateway::Gateway;
use crate::requests::inbound::Inbound;
use bridgevane_types::{DurationMs, TimeMs};
use derive_more::Display;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode, response};
use hyper::body::Incoming;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a connection may take to come up.
const OPEN_LIMIT: Duration = Duration::from_millis(300);
/// How long a connection may rest when its endpoint doesn't say.
const DEFAULT_REST: Duration = Duration::from_millis(3_000);
/// Taken off the time that an endpoint keeps resting connections.
const REST_MARGIN: Duration = Duration::from_millis(800);
/// Tells how long an endpoint keeps a resting connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// An endpoint that gave bytes so lately is believed to be there still.
const HEARD_LATELY: DurationMs = DurationMs(600);
/// Kept connections that are tried before a new one is opened.
const MAX_STALE: usize = 3;

/// Why an attempt gave no answer that can be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte of it was sent.
    #[display("not_sent")]
    NotSent(OpenError),
    /// The endpoint says that it did not run it.
    #[display("not_executed")]
    NotExecuted {
        /// When to come back.
        retry_after_ms: Option<DurationMs>,
    },
    /// Another endpoint has the address.
    #[display("misdirected")]
    Misdirected,
    /// The connection broke: it may have run.
    #[display("broken")]
    Broken,
    /// The answer belongs to another request: it may have run.
    #[display("crossed")]
    Crossed,
    /// No answer in time: it may have run.
    #[display("timed_out")]
    TimedOut,
    /// No answer for so long that another endpoint is asked, which the budget allows: it may
    /// have run.
    #[display("silent")]
    Silent,
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Broken | Self::Crossed | Self::TimedOut | Self::Silent
        )
    }
}

/// Counts a request at its endpoint while it lives.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<Gateway>,
    endpoint: Arc<Endpoint>,
    prefill_tokens: u64,
    pending: Option<Pending>,
}

impl InFlight {
    fn begin(gateway: &Arc<Gateway>, placed: &Placed) -> Self {
        placed.endpoint.load.begin(placed.prefill_tokens);
        let pending = Pending {
            sent: gateway.clock.now(),
            reading_ms: placed.prefill_tokens as f64 / PREFILL_TOKENS_PER_MS,
        };
        placed.endpoint.load.queue_delay().sent(pending);
        Self {
            gateway: gateway.clone(),
            endpoint: placed.endpoint.clone(),
            prefill_tokens: placed.prefill_tokens,
            pending: Some(pending),
        }
    }

    /// The first token came.
    pub fn prefill_done(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        self.endpoint.load.prefill_done(tokens);
        if let Some(pending) = self.pending.take() {
            let now = self.gateway.clock.now();
            self.endpoint.load.queue_delay().answered(now, pending);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.load.prefill_done(self.prefill_tokens);
        if let Some(pending) = self.pending {
            self.endpoint.load.queue_delay().forget(pending);
        }
        self.endpoint.load.end();
    }
}

/// What decided for an endpoint, for logs.
#[derive(Clone, Copy, Debug)]
pub struct Estimated {
    /// Prompt tokens that it has to read.
    pub prefill_tokens: u64,
    /// The estimate that was the lowest.
    pub cost_ms: f64,
    /// Requests that were there.
    pub load: LoadNow,
}

/// An endpoint's answer, its body still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Who answers.
    pub endpoint: Arc<Endpoint>,
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// Counts the request there.
    pub in_flight: InFlight,
    /// What decided for the endpoint.
    pub estimate: Estimated,
    connection: Connection,
}

impl Answer {
    /// Whether only the end of the connection tells the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// The body was read to its end: the connection may carry another request.
    pub fn finish(self, gateway: &Gateway) {
        if let Some(limit) = rest_limit(&self.head.headers) {
            let most = gateway.max_idle_connections(&self.endpoint);
            self.endpoint
                .idle_connections
                .put(self.connection, limit, most);
        }
    }
}

/// How long the connection of an answer may rest; none: it closes.
fn rest_limit(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if text(&CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let told = text(&KEEP_ALIVE)
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok());
    let limit = told.map_or(DEFAULT_REST, Duration::from_secs);
    let limit = limit.saturating_sub(REST_MARGIN);
    (!limit.is_zero()).then_some(limit)
}

/// How long an endpoint may be silent, and whether another may be asked then.
#[derive(Clone, Copy, Debug)]
pub struct Patience<F> {
    /// The moment from which on it has been silent for too long.
    pub until: Instant,
    /// Takes a repeat from the budget, if one is allowed.
    pub take_repeat: F,
}

impl<F: Fn() -> bool> Patience<F> {
    /// Waits for an answer: until patience is over and a repeat is to be had, else until the
    /// deadline.
    async fn wait<T>(
        &self,
        answer: impl Future<Output = T>,
        deadline: Instant,
    ) -> Result<T, AttemptError> {
        let mut answer = pin!(answer);
        if self.until < deadline {
            match timeout_at(self.until, answer.as_mut()).await {
                Ok(answer) => return Ok(answer),
                Err(_) if (self.take_repeat)() => return Err(AttemptError::Silent),
                Err(_) => {}
            }
        }
        let answered = timeout_at(deadline, answer).await;
        answered.map_err(|_| AttemptError::TimedOut)
    }
}

/// Sends a request to an endpoint.
///
/// # Errors
/// [`AttemptError`] when the answer can't be used.
pub async fn attempt<F: Fn() -> bool>(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    placed: &Placed,
    last_event_id: Option<&HeaderValue>,
    patience: Patience<F>,
) -> Result<Answer, AttemptError> {
    let endpoint = &placed.endpoint;
    let record = endpoint.record.load_full();
    let name = HeaderValue::from_str(record.id.as_str()).map_err(|_| AttemptError::Misdirected)?;
    let estimate = Estimated {
        prefill_tokens: placed.prefill_tokens,
        cost_ms: placed.cost_ms,
        load: endpoint.load.now(gateway.clock.now()),
    };
    let in_flight = InFlight::begin(gateway, placed);
    let mut request = inbound.outbound(&gateway.header_names, &name, last_event_id);
    let mut stale = 0;
    let (connection, answered) = loop {
        // A new connection shows that the endpoint is there before a byte is sent that may not
        // be sent twice.
        let is_sure = inbound.route.may_repeat() || was_heard_lately(gateway, endpoint);
        let kept = if is_sure && stale < MAX_STALE {
            endpoint.idle_connections.take()
        } else {
            None
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let limit = OPEN_LIMIT.min(inbound.left());
                let opened = Connection::open(record.address, limit).await;
                opened.map_err(AttemptError::NotSent)?
            }
        };
        let sending = connection.sender.try_send_request(request);
        match patience.wait(sending, inbound.deadline).await? {
            Ok(answered) => break (connection, answered),
            Err(mut error) => match error.take_message() {
                // It had closed before a byte was sent on it.
                Some(unsent) => request = unsent,
                None => return Err(AttemptError::Broken),
            },
        }
        stale += 1;
        if stale > MAX_STALE {
            return Err(AttemptError::NotSent(OpenError::Refused));
        }
    };
    let (head, body) = answered.into_parts();
    endpoint.load.heard(gateway.clock.now());
    read_load(gateway, endpoint, &head.headers);
    check(gateway, inbound, &head)?;
    Ok(Answer {
        endpoint: endpoint.clone(),
        head,
        body,
        in_flight,
        estimate,
        connection,
    })
}

fn was_heard_lately(gateway: &Gateway, endpoint: &Endpoint) -> bool {
    let now = gateway.clock.now();
    let since = TimeMs(now.0.saturating_sub(HEARD_LATELY.0));
    endpoint.load.was_heard_since(since)
}

/// Whether an answer belongs to the request and says that it ran.
fn check(gateway: &Gateway, inbound: &Inbound, head: &response::Parts) -> Result<(), AttemptError> {
    let names = &gateway.header_names;
    if head.headers.contains_key(&names.not_executed) {
        return Err(AttemptError::NotExecuted {
            retry_after_ms: retry_after(&head.headers),
        });
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Misdirected);
    }
    if head.headers.get(&names.request_id) != Some(&inbound.id) {
        return Err(AttemptError::Crossed);
    }
    Ok(())
}

fn retry_after(headers: &HeaderMap) -> Option<DurationMs> {
    let seconds: f64 = headers
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    Some(DurationMs((seconds * 1_000.0) as u64))
}

fn read_load(gateway: &Gateway, endpoint: &Endpoint, headers: &HeaderMap) {
    let Some(text) = headers.get(&gateway.header_names.load) else {
        return;
    };
    let mut numbers = text
        .to_str()
        .unwrap_or("")
        .split(',')
        .map_while(|number| number.trim().parse::<u32>().ok());
    if let (Some(running), Some(waiting)) = (numbers.next(), numbers.next()) {
        let reported = ReportedLoad { running, waiting };
        endpoint.load.report(gateway.clock.now(), reported);
    }
}
