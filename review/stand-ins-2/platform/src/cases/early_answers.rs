//! Half of the workers answer one of fifty long requests before they have read it, keep the connection
//! and read on later: do bookings reach a worker long after their clients have left?

use super::{Record, SERVICE, log_folder, start_gateways};
use crate::clients::{HOST, ROUTE, configuration};
use crate::gateway::ZONES;
use crate::http::{content_length, read_head};
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long the clients send.
const SPAN: Duration = Duration::from_secs(15);
/// When the disruption begins and ends: 5 s.
const FROM: Duration = Duration::from_secs(5);
const UNTIL: Duration = Duration::from_secs(10);
/// The workers, of which the first half is faulty, and one in how many of their long requests they
/// answer early: `share` (.5) and `x` (.02).
const WORKERS: usize = 4;
const ONE_IN: u64 = 50;
/// The clients with long requests at each gateway.
const UPLOADERS: usize = 24;
/// After how long a worker reads the rest of a long request that it has answered.
const READS_ON_AFTER: Duration = Duration::from_millis(2_000);
/// From this length on a request is long.
const LONG_BYTES: usize = 32_768;
/// The length of the long requests; `bodyBytes` is 4,194,304.
const UPLOAD_BYTES: usize = 60_000;
/// How long a client waits: the deadline of the sheet.
const DEADLINE: Duration = Duration::from_millis(600);
/// How long a plain request takes at a worker.
const WORK: Duration = Duration::from_millis(15);
/// After this time a request that reaches a worker counts: "over half a second later".
const LATE: Duration = Duration::from_millis(500);
/// "More than a few requests."
const A_FEW: usize = 5;

#[derive(Debug, Default)]
struct Seen {
    /// When each client closed its connection, by request, and what it had got.
    closed: BTreeMap<String, (Instant, String)>,
    /// When each request reached a worker.
    reached: Vec<(String, Instant)>,
    answered_early: usize,
}

type Shared = Arc<Mutex<Seen>>;

/// Returns whether more than a few requests reached a worker long after their clients had left.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut record = Record::create(folder)?;
    let seen = Shared::default();
    let store = Store::start();
    store.put("op/config", configuration(SERVICE).as_bytes());
    let is_early = Arc::new(AtomicBool::new(false));
    for at in 0..WORKERS {
        let zone = ZONES[at % ZONES.len()];
        let is_faulty = has_trouble && at < WORKERS / 2;
        let is_early = is_faulty.then(|| is_early.clone());
        let address = start_worker(format!("i-{at}"), seen.clone(), is_early);
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":4}}"#
        );
        store.put(&format!("servers/i-{at}"), entry.as_bytes());
    }
    let logs = log_folder("early-answers")?;
    let gateways = start_gateways(&store, &logs)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        for number in 0..UPLOADERS {
            let name = format!("{at}a{number:02}-");
            let client = start_client(gateway.front, name, UPLOAD_BYTES, &seen, &is_over);
            clients.push(client);
        }
        for name in ["b", "c", "d"] {
            let client = start_client(gateway.front, format!("{at}{name}"), 22, &seen, &is_over);
            clients.push(client);
        }
    }
    thread::sleep(FROM);
    is_early.store(true, Ordering::Relaxed);
    thread::sleep(UNTIL - FROM);
    is_early.store(false, Ordering::Relaxed);
    thread::sleep(SPAN - UNTIL);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client doesn't panic");
    }
    // What is on its way reaches the workers.
    thread::sleep(READS_ON_AFTER + Duration::from_secs(2));
    drop(gateways);
    let seen = seen.lock().expect("no panic under this lock");
    let mut ends: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (id, (_, result)) in &seen.closed {
        let kind = if id.contains('a') { "long" } else { "short" };
        *ends.entry((kind, result)).or_default() += 1;
    }
    record.line(format!("sent: {}; answered: {ends:?}", seen.closed.len()));
    record.line(format!(
        "long requests answered early: {}",
        seen.answered_early
    ));
    let mut late = 0;
    for (id, reached_at) in &seen.reached {
        let Some((closed_at, result)) = seen.closed.get(id) else {
            continue;
        };
        let after = reached_at.saturating_duration_since(*closed_at);
        if after > LATE {
            late += 1;
            record.line(format!(
                "request {id}, which ended with {result:?}, reached a worker {:.3} s after its client had closed the connection",
                after.as_secs_f64()
            ));
        }
    }
    record.line(format!(
        "requests that reached a worker over half a second after the close: {late}"
    ));
    Ok(late > A_FEW)
}

/// Starts a worker; while `is_early` is set, it answers one of fifty long requests before it has read it.
fn start_worker(id: String, seen: Shared, is_early: Option<Arc<AtomicBool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let long_requests = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, seen) = (id.clone(), seen.clone());
            let (is_early, long_requests) = (is_early.clone(), long_requests.clone());
            thread::spawn(move || {
                let is_early_now = || {
                    is_early
                        .as_ref()
                        .is_some_and(|it| it.load(Ordering::Relaxed))
                        && long_requests.fetch_add(1, Ordering::Relaxed) % ONE_IN == ONE_IN - 1
                };
                // A broken connection ends its thread.
                let _ = serve(stream, &id, &seen, is_early_now);
            });
        }
    });
    address
}

fn serve(
    mut stream: TcpStream,
    worker: &str,
    seen: &Shared,
    is_early: impl Fn() -> bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((_, headers)) = read_head(&mut reader)? {
        let reached_at = Instant::now();
        let header = |name: &str| {
            let found = headers.iter().find(|(known, _)| known == name);
            found.map_or("", |(_, value)| value.as_str()).to_owned()
        };
        let id = header("attempt-id");
        if header("target-instance") != worker {
            return stream.write_all(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
        }
        seen.lock()
            .expect("no panic under this lock")
            .reached
            .push((id.clone(), reached_at));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {worker}.{id}\r\nInstance-Load: 1,0,6\r\nContent-Length: 3\r\n\r\nok\n"
        );
        let length = content_length(&headers);
        let mut body = vec![0; length];
        if length >= LONG_BYTES && is_early() {
            seen.lock()
                .expect("no panic under this lock")
                .answered_early += 1;
            stream.write_all(answer.as_bytes())?;
            thread::sleep(READS_ON_AFTER);
            reader.read_exact(&mut body)?;
        } else {
            reader.read_exact(&mut body)?;
            thread::sleep(WORK);
            stream.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}

/// Starts a client that sends one request after the other, each on a connection of its own, and leaves
/// at the deadline.
fn start_client(
    front: SocketAddr,
    name: String,
    body_bytes: usize,
    seen: &Shared,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (seen, is_over) = (seen.clone(), is_over.clone());
    let pause = Duration::from_millis(if body_bytes >= LONG_BYTES { 100 } else { 60 });
    thread::spawn(move || {
        let body = vec![b'x'; body_bytes];
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{name}{number:06}");
            let result = send(front, &id, &body);
            let mut seen = seen.lock().expect("no panic under this lock");
            seen.closed.insert(id, (Instant::now(), result));
            drop(seen);
            thread::sleep(pause);
        }
    })
}

/// Sends a request, waits for the first line of its answer and closes the connection.
fn send(front: SocketAddr, id: &str, body: &[u8]) -> String {
    let sending = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&front, DEADLINE)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let head = format!(
            "POST {ROUTE}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            DEADLINE.as_millis(),
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let mut status = [0; 12];
        stream.read_exact(&mut status)?;
        Ok(String::from_utf8_lossy(&status[9..]).into_owned())
    };
    sending().unwrap_or_else(|error| match error.kind() {
        io::ErrorKind::WouldBlock => "no answer at the deadline".to_owned(),
        kind => kind.to_string(),
    })
}
