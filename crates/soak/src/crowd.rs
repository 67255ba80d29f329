//! Clients that send too much, or stop before the end of what they send, and what a process uses meanwhile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long a client's write may make no progress before the client counts as held up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an ordinary request may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How often an ordinary request is sent until it is answered, and the pause between two attempts.
const ATTEMPTS: usize = 40;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(250);
/// How often the memory and descriptors of a process are read.
const USAGE_INTERVAL: Duration = Duration::from_millis(10);
/// The size of a segment that an ordinary network carries.
const PACKET_BYTES: usize = 1_460;
/// The size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 256 * 1024;
/// The size of a body that gateways count as small.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The size of a head that is smaller than each limit on heads.
const HEAD_BYTES: usize = 15_000;
/// How many times the limit a body far over it has.
const FAR_OVER: usize = 16;

/// What a client of a crowd sends. Afterwards it stays connected and reads nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sends {
    /// The largest allowed body but for its last byte.
    WholeBody,
    /// The same in pieces of the size of a packet.
    BodyInPieces,
    /// The same after it asked whether it may send the body.
    BodyAfterAsking,
    /// The largest allowed body in large chunks, without the last one.
    LargeChunks,
    /// A body in chunks of one byte, without the last one.
    TinyChunks,
    /// A small body but for its last byte.
    SmallBody,
    /// A body that is announced to be far over the limit.
    OverLimitAnnounced,
    /// A body in chunks that goes far over the limit.
    OverLimitSent,
    /// A head without its end.
    HeadWithoutEnd,
    /// Nothing.
    Nothing,
}

impl Sends {
    /// All kinds.
    pub const ALL: [Self; 10] = [
        Self::WholeBody,
        Self::BodyInPieces,
        Self::BodyAfterAsking,
        Self::LargeChunks,
        Self::TinyChunks,
        Self::SmallBody,
        Self::OverLimitAnnounced,
        Self::OverLimitSent,
        Self::HeadWithoutEnd,
        Self::Nothing,
    ];

    /// Returns the header lines that frame the body.
    fn framing(self, target: &Target) -> String {
        let length = |bytes: usize| format!("content-length: {bytes}\r\n");
        match self {
            Self::WholeBody | Self::BodyInPieces => length(target.max_body_bytes),
            Self::BodyAfterAsking => length(target.max_body_bytes) + "expect: 100-continue\r\n",
            Self::SmallBody => length(SMALL_BODY_BYTES),
            Self::OverLimitAnnounced => length(FAR_OVER * target.max_body_bytes),
            Self::LargeChunks | Self::TinyChunks | Self::OverLimitSent => {
                "transfer-encoding: chunked\r\n".to_owned()
            }
            Self::HeadWithoutEnd | Self::Nothing => String::new(),
        }
    }

    /// Returns what is sent after the head.
    fn body(self, target: &Target) -> Vec<u8> {
        let whole = target.max_body_bytes;
        match self {
            Self::WholeBody | Self::BodyInPieces | Self::BodyAfterAsking => vec![b'x'; whole - 1],
            Self::SmallBody => vec![b'x'; SMALL_BODY_BYTES - 1],
            Self::OverLimitAnnounced => vec![b'x'; FAR_OVER * whole],
            Self::LargeChunks => chunks(whole - 1, LARGE_CHUNK_BYTES),
            Self::TinyChunks => chunks(target.tiny_chunks, 1),
            Self::OverLimitSent => chunks(FAR_OVER * whole, LARGE_CHUNK_BYTES),
            Self::HeadWithoutEnd | Self::Nothing => Vec::new(),
        }
    }

    /// Returns the most bytes that are written at once.
    fn piece_bytes(self) -> usize {
        match self {
            Self::BodyInPieces => PACKET_BYTES,
            _ => usize::MAX,
        }
    }
}

/// Returns a body in chunks of at most `chunk_bytes`, without the last chunk.
fn chunks(body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut text = Vec::new();
    let mut left = body_bytes;
    while left > 0 {
        let length = left.min(chunk_bytes);
        text.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        text.resize(text.len() + length, b'x');
        text.extend_from_slice(b"\r\n");
        left -= length;
    }
    text
}

/// The daemon that a crowd connects to, and the requests that it accepts.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address for clients.
    pub address: SocketAddr,
    /// Returns the first line of a request with this id and its headers, but for those that frame the body.
    pub head: fn(&str) -> String,
    /// The body of an ordinary request.
    pub ordinary_body: String,
    /// The longest allowed body.
    pub max_body_bytes: usize,
    /// The number of chunks of one byte that a client sends.
    pub tiny_chunks: usize,
}

impl Target {
    /// Sends an ordinary request and returns the status of its answer, 0 for none.
    async fn status(&self, body: &str) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.address).await else {
            return 0;
        };
        let length = body.len();
        let head = (self.head)("ordinary");
        let request = format!("{head}connection: close\r\ncontent-length: {length}\r\n\r\n{body}");
        let mut answer = Vec::new();
        // An end of the connection while it is written or read shows in the answer.
        let exchange = async {
            let _ = stream.write_all(request.as_bytes()).await;
            let _ = stream.read_to_end(&mut answer).await;
        };
        let _ = timeout(ANSWER_TIMEOUT, exchange).await;
        let text = String::from_utf8_lossy(&answer);
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }

    /// Returns whether an ordinary request is served, by one of several attempts.
    pub async fn serves(&self) -> bool {
        for _ in 0..ATTEMPTS {
            if self.status(&self.ordinary_body).await == 200 {
                return true;
            }
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
        false
    }
}

/// Connected clients that stay until this is dropped.
pub struct Crowd {
    clients: JoinSet<Option<TcpStream>>,
    connected: Vec<TcpStream>,
}

impl Crowd {
    /// Connects this many clients for each of `kinds`.
    pub fn start(target: &Target, kinds: &[Sends], count: usize) -> Self {
        let mut clients = JoinSet::new();
        for kind in kinds.iter().copied() {
            let body: Arc<[u8]> = kind.body(target).into();
            for at in 0..count {
                let head = head(target, kind, at);
                clients.spawn(send(target.address, head, body.clone(), kind));
            }
        }
        Self {
            clients,
            connected: Vec::new(),
        }
    }

    /// Waits until each client has sent what it sends, can't go on, or was turned away.
    ///
    /// # Panics
    /// Panics if a client has panicked.
    pub async fn sent(&mut self) {
        while let Some(client) = self.clients.join_next().await {
            self.connected.extend(client.expect("no client panics"));
        }
    }
}

fn head(target: &Target, kind: Sends, at: usize) -> String {
    if kind == Sends::Nothing {
        return String::new();
    }
    let head = (target.head)(&format!("crowd-{at}")) + &kind.framing(target);
    if kind == Sends::HeadWithoutEnd {
        let filling = HEAD_BYTES - head.len();
        return format!("{head}x-filling: {}", "x".repeat(filling));
    }
    head + "\r\n"
}

/// Sends what a client of this kind sends; `None` if its connection has ended.
async fn send(
    address: SocketAddr,
    head: String,
    body: Arc<[u8]>,
    kind: Sends,
) -> Option<TcpStream> {
    let connecting = TcpStream::connect(address);
    let mut stream = timeout(ANSWER_TIMEOUT, connecting).await.ok()?.ok()?;
    stream.write_all(head.as_bytes()).await.ok()?;
    if kind == Sends::BodyAfterAsking {
        let mut answer = [0; 64];
        // Some clients send the body without having been told to.
        let _ = timeout(WRITE_TIMEOUT, stream.read(&mut answer)).await;
    }
    for piece in body.chunks(kind.piece_bytes().min(body.len().max(1))) {
        let mut unsent = piece;
        while !unsent.is_empty() {
            let Ok(written) = timeout(WRITE_TIMEOUT, stream.write(unsent)).await else {
                return Some(stream);
            };
            unsent = &unsent[written.ok()?..];
        }
    }
    Some(stream)
}

/// What a process used at its peak.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakUsage {
    /// The anonymous memory, in bytes.
    pub memory_bytes: u64,
    /// The number of open descriptors.
    pub descriptors: usize,
}

impl PeakUsage {
    /// Takes in what a process uses now.
    pub fn add(&mut self, process: u32) {
        self.memory_bytes = self.memory_bytes.max(anonymous_memory(process));
        self.descriptors = self.descriptors.max(open_descriptors(process));
    }
}

/// Reads what a process uses until it is asked for the peak.
pub struct UsageWatch {
    stop: Arc<AtomicBool>,
    reader: JoinHandle<PeakUsage>,
}

impl UsageWatch {
    /// Starts to read what a process uses.
    pub fn start(process: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let reader = std::thread::spawn(move || {
            let mut peak = PeakUsage::default();
            while !stopped.load(Ordering::Relaxed) {
                peak.add(process);
                std::thread::sleep(USAGE_INTERVAL);
            }
            peak
        });
        Self { stop, reader }
    }

    /// Stops, and returns the peak.
    ///
    /// # Panics
    /// Panics if the thread that reads has panicked.
    pub fn peak(self) -> PeakUsage {
        self.stop.store(true, Ordering::Relaxed);
        self.reader.join().expect("the reader doesn't panic")
    }
}

/// Returns the anonymous memory of a process in bytes, 0 if it has ended.
pub fn anonymous_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kibibytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}

/// Returns the number of open descriptors of a process, 0 if it has ended.
fn open_descriptors(process: u32) -> usize {
    let listed = std::fs::read_dir(format!("/proc/{process}/fd"));
    listed.map_or(0, Iterator::count)
}
