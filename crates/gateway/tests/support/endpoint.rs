//! An endpoint that answers byte by byte according to a test's script.

use super::socket_queues::unread_bytes;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// One step of the handling of a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends bytes; `{id}` is replaced by the request's identifier.
    Send(String),
    /// Sends bytes over and over until the connection is closed.
    Flood(&'static str),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Sends nothing more and keeps the connection open.
    Hang,
    /// Crashes the endpoint: closes its listener and all its connections.
    Crash,
}

/// A request as the endpoint received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}: ");
        let line = self.head.lines().find(|line| line.starts_with(&prefix))?;
        Some(line[prefix.len()..].to_owned())
    }
}

/// A scripted endpoint; clones share one state.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    /// The requests that it has received.
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// The number of connections that the other side closed during a request.
    pub abandoned: Arc<Mutex<usize>>,
    /// The bytes that each flood could write, in the order in which their connections were closed.
    pub floods: Arc<Mutex<Vec<usize>>>,
    /// Cancelled when the endpoint crashes.
    pub crashed: CancellationToken,
    /// Cancelled when the network loses the endpoint: open connections live on, and nothing passes.
    pub lost: CancellationToken,
}

impl Endpoint {
    /// Starts an endpoint that handles its n-th request by `script(n)`.
    pub async fn start(script: impl Fn(usize) -> Vec<Action> + Send + Sync + 'static) -> Self {
        Self::start_by_request(move |at, _| script(at)).await
    }

    /// Starts an endpoint whose script also depends on the content of the request.
    pub async fn start_by_request(
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Action> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::start_at(listener, script)
    }

    /// Starts an endpoint at a listener.
    pub fn start_at(
        listener: TcpListener,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Action> + Send + Sync + 'static,
    ) -> Self {
        let endpoint = Self {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            abandoned: Arc::default(),
            floods: Arc::default(),
            crashed: CancellationToken::new(),
            lost: CancellationToken::new(),
        };
        let own = endpoint.clone();
        let script = Arc::new(script);
        let crashed = endpoint.crashed.clone();
        tokio::spawn(crashed.run_until_cancelled_owned(async move {
            let mut fillers = Vec::new();
            loop {
                let accepted = own.lost.run_until_cancelled(listener.accept()).await;
                let Some(accepted) = accepted else {
                    fill_backlog(&listener, &mut fillers);
                    std::future::pending::<()>().await;
                    return;
                };
                let (stream, _) = accepted.unwrap();
                let serving = serve(own.clone(), stream, script.clone());
                tokio::spawn(own.crashed.clone().run_until_cancelled_owned(serving));
            }
        }));
        endpoint
    }

    /// Records a request and returns its index.
    fn record(&self, request: ReceivedRequest) -> usize {
        let mut all = self.received.lock().unwrap();
        all.push(request);
        all.len() - 1
    }

    /// Returns the number of requests that it has received.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// Fills the listen backlog, so that further connections are left without an answer.
fn fill_backlog(listener: &TcpListener, fillers: &mut Vec<std::net::TcpStream>) {
    let socket = socket2::SockRef::from(listener);
    socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    for _ in 0..2 {
        let filler = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100));
        fillers.extend(filler);
    }
}

/// Reads one request; `unparsed` holds bytes that were received and not parsed yet.
async fn read_request(stream: &mut TcpStream, unparsed: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = unparsed.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&unparsed[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse().unwrap());
            let whole = end + 4 + length;
            if unparsed.len() >= whole {
                let body = unparsed[end + 4..whole].to_vec();
                unparsed.drain(..whole);
                return Some(ReceivedRequest { head, body });
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => unparsed.extend_from_slice(&bytes[..count]),
        }
    }
}

async fn serve(
    endpoint: Endpoint,
    mut stream: TcpStream,
    script: Arc<impl Fn(usize, &ReceivedRequest) -> Vec<Action> + Send + Sync + 'static>,
) {
    let mut unparsed = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut unparsed).await {
        if endpoint.lost.is_cancelled() {
            std::future::pending::<()>().await;
        }
        let id = request.header("x-id").unwrap_or_default();
        let at = endpoint.record(request.clone());
        for action in script(at, &request) {
            match action {
                Action::Send(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Action::Flood(text) => {
                    let written = flood(&mut stream, text).await;
                    endpoint.floods.lock().unwrap().push(written);
                    return;
                }
                Action::Wait(time) => {
                    let mut byte = [0; 1];
                    tokio::select! {
                        _ = sleep(time) => {}
                        read = stream.read(&mut byte) => if matches!(read, Ok(0) | Err(_)) {
                            *endpoint.abandoned.lock().unwrap() += 1;
                            return;
                        },
                    }
                }
                Action::Close => return,
                Action::Crash => {
                    endpoint.crashed.cancel();
                    return;
                }
                Action::Reset => {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Action::Hang => {
                    let mut byte = [0; 1];
                    if matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {
                        *endpoint.abandoned.lock().unwrap() += 1;
                        return;
                    }
                }
            }
        }
    }
}

/// The bytes that a flood writes at a time, about.
const FLOOD_STEP_BYTES: usize = 64 * 1024;
/// The delay between two checks whether a step of a flood was read.
const FLOOD_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Writes a text over and over until the connection is closed, and returns how many bytes it wrote. All
/// but the last step were read by the other side: the buffers between them grow as the kernel likes.
async fn flood(stream: &mut TcpStream, text: &str) -> usize {
    let step = text.repeat(FLOOD_STEP_BYTES.div_ceil(text.len()));
    let mut written = 0;
    while stream.write_all(step.as_bytes()).await.is_ok() {
        written += step.len();
        while unread_bytes(stream).is_some_and(|unread| unread > 0) {
            sleep(FLOOD_CHECK_INTERVAL).await;
        }
    }
    written
}

/// Sends a complete answer with a status and a body.
pub fn answer(status: &str, body: &str) -> Action {
    Action::Send(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-sign: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Sends the head of a chunked stream.
pub fn stream_head() -> Action {
    Action::Send(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
            .into(),
    )
}

/// Sends text as one chunk.
pub fn chunk(text: &str) -> Action {
    Action::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Sends one event as a chunk.
pub fn event(id: u64) -> Action {
    chunk(&format!("id: {id}\ndata: piece {id}\n\n"))
}

/// Sends the last chunk of a chunked stream.
pub fn last_chunk() -> Action {
    Action::Send("0\r\n\r\n".into())
}
