//! Clients of resumable streams: each reads one stream after the other, and takes it up at another
//! daemon when its connection breaks.

use crate::callers::Body;
use crate::connections::Connections;
use crate::environment::KEYS;
use crate::stream_checks::{AttemptEnd, RecordedStream, Refusal, StreamAttempt};
use bridgevane_platform_emulator::{PROMPT_PARTS, keyed_request};
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The time from the first attempt until a client gives a stream up.
pub(crate) const CLIENT_DEADLINE: Duration = Duration::from_millis(9_000);
/// The time without a byte after which a client takes its connection for broken.
const GAP_LIMIT: Duration = Duration::from_millis(2_000);
/// The pause after a refusal without a retry time.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);
/// The pause after an attempt that got no answer or broke.
const BREAK_PAUSE: Duration = Duration::from_millis(20);
/// The pause between two streams of a client, in milliseconds.
const PAUSE_MS: Range<u64> = 50..500;
/// The pause before the first stream of a client, in milliseconds: as long as a stream, so that streams
/// begin at all times.
const FIRST_PAUSE_MS: Range<u64> = 0..4_000;
/// One in this many take-ups is sent to two daemons at once.
const DOUBLE_ONE_IN: u32 = 8;
/// The route of the streams.
const PATH: &str = "/resume/x";

/// The clients of a run. Clones share the connections and the record.
#[derive(Clone, Debug)]
pub(crate) struct StreamClients {
    daemons: Vec<Connections>,
    seed: u64,
    started: Instant,
    until: Instant,
    streams: Arc<Mutex<Vec<RecordedStream>>>,
}

/// What a client sends in an attempt.
#[derive(Clone, Debug)]
struct AttemptRequest {
    id: String,
    /// The identifier of the prompt, which no other stream has.
    prompt: u64,
    daemon: usize,
    deadline: Instant,
    /// The newest event that the client has.
    after: u64,
    /// The attempt that brought the first event.
    begun_by: Option<String>,
}

/// An attempt that has ended, and when the daemon wants the client to retry.
#[derive(Debug)]
struct EndedAttempt {
    attempt: StreamAttempt,
    retry_after: Option<Duration>,
}

impl EndedAttempt {
    /// Returns the pause until the next attempt; a client obeys a retry time up to a third of the time
    /// that it has left.
    fn pause(&self, deadline: Instant) -> Duration {
        let longest = deadline.saturating_duration_since(Instant::now()) / 3;
        match self.attempt.end {
            AttemptEnd::Refused(_) => self.retry_after.unwrap_or(REFUSAL_PAUSE).min(longest),
            _ => BREAK_PAUSE,
        }
    }
}

impl StreamClients {
    pub(crate) fn new(
        addresses: Vec<SocketAddr>,
        seed: u64,
        started: Instant,
        until: Instant,
    ) -> Self {
        Self {
            daemons: addresses.into_iter().map(Connections::new).collect(),
            seed,
            started,
            until,
            streams: Arc::default(),
        }
    }

    /// Starts this number of clients.
    pub(crate) fn start(&self, clients: usize) -> JoinSet<()> {
        let clients = (0..clients).map(|number| self.clone().run(number));
        clients.collect()
    }

    /// Returns the streams that have ended.
    pub(crate) fn take_streams(&self) -> Vec<RecordedStream> {
        std::mem::take(&mut self.streams.lock().expect("no panic under this lock"))
    }

    fn record(&self, stream: RecordedStream) {
        let mut streams = self.streams.lock().expect("no panic under this lock");
        streams.push(stream);
    }

    /// Reads streams whose deadline is within the run.
    async fn run(self, number: usize) {
        let mut random = Pcg64::seed_from_u64(self.seed ^ (number as u64) << 32);
        let mut count = 0;
        sleep(Duration::from_millis(random.random_range(FIRST_PAUSE_MS))).await;
        while Instant::now() + CLIENT_DEADLINE < self.until {
            count += 1;
            let stream = self.read(number, count, &mut random).await;
            self.record(stream);
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        }
    }

    /// Reads one stream until it has ended or its deadline has passed.
    async fn read(&self, client: usize, count: usize, random: &mut Pcg64) -> RecordedStream {
        let deadline = Instant::now() + CLIENT_DEADLINE;
        let mut stream = RecordedStream::default();
        let mut daemon = random.random_range(0..self.daemons.len());
        let prompt = random.random();
        while !stream.has_ended() && Instant::now() < deadline {
            let request = AttemptRequest {
                id: format!("s{client}-{count}-{}", stream.attempts.len()),
                prompt,
                daemon,
                deadline,
                after: stream.last_event(),
                begun_by: stream.begun_by().map(str::to_owned),
            };
            let is_double = request.after > 0 && random.random_ratio(1, DOUBLE_ONE_IN);
            daemon = self.another_daemon(daemon, random);
            let second = is_double.then(|| AttemptRequest {
                id: format!("{}-double", request.id),
                daemon,
                ..request.clone()
            });
            let (first, second) = tokio::join!(self.attempt(request), self.attempt_if(second));
            let pause = first.pause(deadline);
            stream.attempts.push(first.attempt);
            stream.attempts.extend(second.map(|second| second.attempt));
            if !stream.has_ended() {
                sleep(pause).await;
            }
        }
        stream
    }

    /// Draws another daemon than this one, if there are several.
    fn another_daemon(&self, daemon: usize, random: &mut Pcg64) -> usize {
        let count = self.daemons.len();
        (daemon + random.random_range(1..count.max(2))) % count
    }

    async fn attempt_if(&self, request: Option<AttemptRequest>) -> Option<EndedAttempt> {
        Some(self.attempt(request?).await)
    }

    async fn attempt(&self, request: AttemptRequest) -> EndedAttempt {
        let mut ended = EndedAttempt {
            attempt: StreamAttempt {
                id: request.id.clone(),
                daemon: request.daemon,
                sent_at: self.started.elapsed(),
                after: request.after,
                is_accepted: false,
                events: Vec::new(),
                unreadable: Vec::new(),
                end: AttemptEnd::OutOfTime,
            },
            retry_after: None,
        };
        let exchange = exchange(&self.daemons[request.daemon], &request, &mut ended);
        if let Ok(end) = timeout_at(request.deadline, exchange).await {
            ended.attempt.end = end;
        }
        ended
    }
}

async fn exchange(
    connections: &Connections,
    request: &AttemptRequest,
    ended: &mut EndedAttempt,
) -> AttemptEnd {
    let sending = timeout(GAP_LIMIT, connections.send(http_request(request)));
    let Ok(Some((sender, answer))) = sending.await else {
        return AttemptEnd::Unanswered;
    };
    let (head, body) = answer.into_parts();
    ended.attempt.is_accepted = head.status == http::StatusCode::OK;
    ended.retry_after = retry_after(&head.headers);
    let end = if ended.attempt.is_accepted {
        read_events(body, &mut ended.attempt).await
    } else {
        read_refusal(head.status.as_u16(), body).await
    };
    if matches!(end, AttemptEnd::Whole | AttemptEnd::Refused(_)) {
        connections.give_back(sender);
    }
    end
}

fn http_request(request: &AttemptRequest) -> Request<Body> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let deadline_ms = left.as_millis() as u64;
    let (mut head, _) = keyed_request(PATH, &request.id, KEYS[0], deadline_ms).into_parts();
    let mut insert = |name, value: &str| {
        let value = value.parse().expect("the value is ASCII");
        head.headers.insert(name, value);
    };
    insert(PROMPT_PARTS, &format!("{:x}:100", request.prompt));
    if let Some(begun_by) = &request.begun_by {
        insert("resumes", begun_by);
        insert("last-event-id", &request.after.to_string());
    }
    Request::from_parts(head, Body::from("hi"))
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("retry-after")?.to_str().ok()?;
    Duration::try_from_secs_f64(value.parse().ok()?).ok()
}

/// Reads events until the answer ends or breaks.
async fn read_events(mut body: Incoming, attempt: &mut StreamAttempt) -> AttemptEnd {
    let mut text = String::new();
    loop {
        let frame = match timeout(GAP_LIMIT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => {
                attempt
                    .unreadable
                    .extend((!text.is_empty()).then_some(text));
                return AttemptEnd::Whole;
            }
            Ok(Some(Err(_))) | Err(_) => return AttemptEnd::Broken,
        };
        if let Ok(data) = frame.into_data() {
            text += &String::from_utf8_lossy(&data);
        }
        take_events(&mut text, attempt);
    }
}

/// Moves whole events from the text that has arrived to the attempt.
fn take_events(text: &mut String, attempt: &mut StreamAttempt) {
    while let Some((event, rest)) = text.split_once("\n\n") {
        match event.parse() {
            Ok(event) => attempt.events.push(event),
            Err(_) => attempt.unreadable.push(event.to_owned()),
        }
        *text = rest.to_owned();
    }
}

async fn read_refusal(status: u16, body: Incoming) -> AttemptEnd {
    match timeout(GAP_LIMIT, body.collect()).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            AttemptEnd::Refused(Refusal::new(status, &String::from_utf8_lossy(&body)))
        }
        _ => AttemptEnd::Broken,
    }
}
