//! Callers: each sends one request after the other and reuses its connection while it is open.

use crate::environment::KEYS;
use crate::history::{CallEnd, RecordedCall, RouteKind};
use crate::options::SoakOptions;
use bridgevane_platform_emulator::{is_signed, keyed_request};
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How callers send their calls.
#[derive(Clone, Debug)]
pub(crate) struct CallPace {
    /// The deadline of a call; the request carries it, too.
    pub(crate) deadline: Duration,
    /// The range of the pause between two calls of a caller, in milliseconds.
    pub(crate) pause_ms: std::ops::Range<u64>,
}

impl Default for CallPace {
    fn default() -> Self {
        Self {
            deadline: Duration::from_millis(3_000),
            pause_ms: 10..80,
        }
    }
}

pub(crate) type Body = http_body_util::Full<bytes::Bytes>;

/// The calls recorded by all callers of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls(Arc<Mutex<Vec<RecordedCall>>>);

impl Calls {
    fn push(&self, call: RecordedCall) {
        self.0.lock().expect("no panic under this lock").push(call);
    }

    pub(crate) fn take(&self) -> Vec<RecordedCall> {
        std::mem::take(&mut self.0.lock().expect("no panic under this lock"))
    }
}

/// One caller, with its own stream of random numbers.
struct CallerTask {
    number: usize,
    seed: u64,
    client_addresses: Vec<SocketAddr>,
    started: Instant,
    until: Instant,
    pace: CallPace,
    calls: Calls,
}

/// Starts the callers of a run.
pub(crate) fn start(
    options: &SoakOptions,
    client_addresses: &[SocketAddr],
    started: Instant,
    pace: &CallPace,
    calls: &Calls,
) -> JoinSet<()> {
    let callers = (0..options.callers).map(|number| CallerTask {
        number,
        seed: options.seed,
        client_addresses: client_addresses.to_vec(),
        started,
        until: started + options.size.duration,
        pace: pace.clone(),
        calls: calls.clone(),
    });
    callers.map(CallerTask::run).collect()
}

struct Connection {
    daemon: usize,
    sender: SendRequest<Body>,
}

impl CallerTask {
    /// Sends calls until `until`, each to a random daemon unless the connection is reused.
    async fn run(self) {
        let mut random = Pcg64::seed_from_u64(self.seed ^ (self.number as u64) << 32);
        let mut connection: Option<Connection> = None;
        let mut count = 0;
        while Instant::now() < self.until {
            count += 1;
            let id = format!("c{}-{count}", self.number);
            let kind = [RouteKind::Once, RouteKind::Stream, RouteKind::Resumable]
                [random.random_range(0..3)];
            let key = KEYS[random.random_range(0..KEYS.len())];
            let daemon = random.random_range(0..self.client_addresses.len());
            let sent_at = self.started.elapsed();
            let open = match connection.take() {
                Some(open) if open.sender.is_ready() => Some(open),
                _ => connect(daemon, self.client_addresses[daemon]).await,
            };
            let (daemon, end) = match open {
                None => (daemon, CallEnd::NotConnected),
                Some(mut open) => {
                    let call = Call {
                        kind,
                        id: &id,
                        key,
                        deadline: self.pace.deadline,
                    };
                    let end = send(&mut open.sender, call).await;
                    let daemon = open.daemon;
                    if matches!(end, CallEnd::Answered { .. }) {
                        connection = Some(open);
                    }
                    (daemon, end)
                }
            };
            self.calls.push(RecordedCall {
                id,
                kind,
                daemon,
                key: key.to_owned(),
                sent_at,
                ended_at: self.started.elapsed(),
                end,
            });
            let pause = Duration::from_millis(random.random_range(self.pace.pause_ms.clone()));
            tokio::time::sleep(pause).await;
        }
    }
}

async fn connect(daemon: usize, client_address: SocketAddr) -> Option<Connection> {
    let sender = open_connection(client_address).await?;
    Some(Connection { daemon, sender })
}

/// Opens a connection to a daemon; `None` if it doesn't accept one in time.
pub(crate) async fn open_connection(client_address: SocketAddr) -> Option<SendRequest<Body>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(client_address)).await;
    let stream = stream.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // A connection error is visible in the calls that it ends.
        let _ = connection.await;
    });
    Some(sender)
}

/// One call that is sent.
#[derive(Clone, Copy, Debug)]
struct Call<'a> {
    kind: RouteKind,
    id: &'a str,
    key: &'a str,
    deadline: Duration,
}

async fn send(sender: &mut SendRequest<Body>, call: Call<'_>) -> CallEnd {
    let calling = exchange(sender, call);
    timeout(call.deadline, calling)
        .await
        .unwrap_or(CallEnd::TimedOut)
}

async fn exchange(sender: &mut SendRequest<Body>, call: Call<'_>) -> CallEnd {
    let Call { kind, id, key, .. } = call;
    let deadline_ms = call.deadline.as_millis() as u64;
    let (head, _) = keyed_request(kind.path(), id, key, deadline_ms).into_parts();
    let request = http::Request::from_parts(head, Body::from("hi"));
    let answer = match sender.try_send_request(request).await {
        Ok(answer) => answer,
        // The message is returned if not a byte of it was sent.
        Err(mut error) => {
            let is_unsent = error.take_message().is_some();
            return if is_unsent {
                CallEnd::NotConnected
            } else {
                CallEnd::CutBefore
            };
        }
    };
    let status = answer.status().as_u16();
    let is_signed = is_signed(answer.headers(), id);
    match answer.into_body().collect().await {
        Ok(body) => CallEnd::Answered {
            status,
            is_signed,
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        },
        Err(_) => CallEnd::CutInside,
    }
}
