//! An endpoint that answers as a test says, byte by byte.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// What is done with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Bytes are sent; `{id}` becomes the request's identifier.
    Send(String),
    /// Time passes.
    Wait(Duration),
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing more, the connection stays.
    Hang,
    /// The endpoint ends as a process does: its listener and all its connections are closed.
    Crash,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}: ");
        let line = self.head.lines().find(|line| line.starts_with(&prefix))?;
        Some(line[prefix.len()..].to_owned())
    }
}

#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Connections whose other side went away while a request was under way.
    pub abandoned: Arc<Mutex<usize>>,
    /// Cancelled when the endpoint ends.
    pub ended: CancellationToken,
}

impl Endpoint {
    /// Starts an endpoint whose n-th request is answered by `script(n)`.
    pub async fn start(script: impl Fn(usize) -> Vec<Act> + Send + Sync + 'static) -> Self {
        Self::start_by(move |at, _| script(at)).await
    }

    /// Starts an endpoint that answers its n-th request by its content, too.
    pub async fn start_by(
        script: impl Fn(usize, &Seen) -> Vec<Act> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Self {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            abandoned: Arc::default(),
            ended: CancellationToken::new(),
        };
        let own = endpoint.clone();
        let script = Arc::new(script);
        let ended = endpoint.ended.clone();
        tokio::spawn(ended.run_until_cancelled_owned(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let serving = serve(own.clone(), stream, script.clone());
                tokio::spawn(own.ended.clone().run_until_cancelled_owned(serving));
            }
        }));
        endpoint
    }

    fn note(&self, seen: Seen) -> usize {
        let mut all = self.seen.lock().unwrap();
        all.push(seen);
        all.len() - 1
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

async fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse().unwrap());
            let whole = end + 4 + length;
            if rest.len() >= whole {
                let body = rest[end + 4..whole].to_vec();
                rest.drain(..whole);
                return Some(Seen { head, body });
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&bytes[..count]),
        }
    }
}

async fn serve(
    endpoint: Endpoint,
    mut stream: TcpStream,
    script: Arc<impl Fn(usize, &Seen) -> Vec<Act> + Send + Sync + 'static>,
) {
    let mut rest = Vec::new();
    while let Some(seen) = read_request(&mut stream, &mut rest).await {
        let id = seen.header("x-id").unwrap_or_default();
        let at = endpoint.note(seen.clone());
        for act in script(at, &seen) {
            match act {
                Act::Send(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Act::Wait(time) => {
                    let mut byte = [0; 1];
                    tokio::select! {
                        _ = tokio::time::sleep(time) => {}
                        read = stream.read(&mut byte) => if matches!(read, Ok(0) | Err(_)) {
                            *endpoint.abandoned.lock().unwrap() += 1;
                            return;
                        },
                    }
                }
                Act::Close => return,
                Act::Crash => {
                    endpoint.ended.cancel();
                    return;
                }
                Act::Reset => {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Act::Hang => {
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

/// A whole answer of a status with a body.
pub fn answer(status: &str, body: &str) -> Act {
    Act::Send(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-sign: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// The head of a stream in chunks.
pub fn stream_head() -> Act {
    Act::Send(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
            .into(),
    )
}

/// Bytes as one chunk.
pub fn chunk(text: &str) -> Act {
    Act::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// One event as a chunk.
pub fn event(id: u64) -> Act {
    chunk(&format!("id: {id}\ndata: piece {id}\n\n"))
}

/// The end of a stream in chunks.
pub fn last_chunk() -> Act {
    Act::Send("0\r\n\r\n".into())
}
