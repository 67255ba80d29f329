//! A worker starts again under its id at another software version while the store is down: do streams
//! that begin there go on at a worker of the earlier version?

use super::{Record, log_folder, start_gateways};
use crate::clients::HOST;
use crate::gateway::ZONES;
use crate::http::{content_length, read_head};
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The service of the streams.
const SERVICE: &str = "huvo11a";
/// The events of a stream, and the pause before each.
const EVENTS: u64 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// The deadline of a stream.
const DEADLINE: Duration = Duration::from_secs(12);
/// When the store goes silent, and for how long.
const STORE_DOWN_AT: Duration = Duration::from_millis(15_000);
const STORE_DOWN_FOR: Duration = Duration::from_millis(4_500);
/// When the worker refuses new connections, when it starts again at the other version, when it crashes,
/// and when it is back.
const UPGRADE_AT: Duration = Duration::from_millis(15_300);
const UPGRADED_AT: Duration = Duration::from_millis(15_800);
const CRASH_AT: Duration = Duration::from_millis(18_300);
const BACK_AT: Duration = Duration::from_millis(19_300);
/// When the clients begin no more streams.
const END_AT: Duration = Duration::from_millis(23_000);
/// The zones of the workers: the first one is alone in its zone.
const WORKER_ZONES: [usize; 4] = [0, 1, 2, 1];
/// The pause after a refusal.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The clients at each gateway.
const CLIENTS: usize = 8;
/// "More than two streams."
const JOINED_ALLOWED: usize = 2;

#[derive(Debug)]
struct State {
    version: &'static str,
    /// Rises with each end of the process.
    life: u32,
    is_down: bool,
}

/// A worker that streams, and may end and start again at its address.
#[derive(Clone, Debug)]
struct StreamWorker {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl StreamWorker {
    fn start(id: String, zone: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            id,
            zone,
            address: listener.local_addr().expect("a bound listener"),
            state: Arc::new(Mutex::new(State {
                version: "v1",
                life: 0,
                is_down: false,
            })),
        };
        let served = worker.clone();
        thread::spawn(move || served.accept(listener));
        worker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Begins a planned end: new connections are refused, running streams go on.
    fn refuse_connections(&self) {
        self.state().is_down = true;
    }

    /// Ends the process: its connections close, and new ones are refused.
    fn end(&self) {
        let mut state = self.state();
        state.life += 1;
        state.is_down = true;
    }

    /// Starts the process again.
    fn start_again(&self, version: &'static str) {
        let mut state = self.state();
        state.version = version;
        state.is_down = false;
    }

    /// Returns its record, with every field of the pages.
    fn record(&self, sequence: u64) -> String {
        let state = self.state();
        format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"{}","slots":64,"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{}}}"#,
            self.address,
            self.zone,
            state.version,
            1_780_000_000_000_u64 + u64::from(state.life) * 3_000
        )
    }

    fn accept(&self, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).expect("a socket option");
            while !self.state().is_down {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (worker, life) = (self.clone(), self.state().life);
                        thread::spawn(move || {
                            // A broken connection ends its thread.
                            let _ = worker.serve(stream, life);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            while self.state().is_down {
                thread::sleep(Duration::from_millis(2));
            }
            listener = TcpListener::bind(self.address).expect("the worker's own port");
        }
    }

    fn serve(&self, mut stream: TcpStream, life: u32) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.close_at_end_of(life, stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((_, headers)) = read_head(&mut reader)? {
            let header = |name: &str| {
                let found = headers.iter().find(|(known, _)| known == name);
                found.map_or("", |(_, value)| value.as_str()).to_owned()
            };
            let mut body = vec![0; content_length(&headers)];
            reader.read_exact(&mut body)?;
            if header("target-instance") != self.id {
                stream.write_all(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let id = header("attempt-id");
            let first = header("last-event-id")
                .parse()
                .map_or(1, |last: u64| last + 1);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            );
            stream.write_all(head.as_bytes())?;
            let version = self.state().version;
            for number in first..=EVENTS {
                thread::sleep(EVENT_PAUSE);
                let event = format!("id: {number}\ndata: {version} {} {id}\n\n", self.id);
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
            return stream.shutdown(Shutdown::Both);
        }
        Ok(())
    }

    /// Closes a connection when the process ends.
    fn close_at_end_of(&self, life: u32, stream: TcpStream) {
        let worker = self.clone();
        thread::spawn(move || {
            while worker.state().life == life && stream.peer_addr().is_ok() {
                thread::sleep(Duration::from_millis(2));
            }
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

/// What a client got of one stream.
#[derive(Clone, Debug)]
struct Stream {
    sent_at: Duration,
    id: String,
    status: String,
    /// The number, the version and the worker of each event.
    events: Vec<(u64, String, String)>,
    is_complete: bool,
}

impl Stream {
    fn versions(&self) -> BTreeSet<&str> {
        self.events
            .iter()
            .map(|(_, version, _)| version.as_str())
            .collect()
    }

    /// Returns the runs of events that come from one worker.
    fn runs(&self) -> Vec<String> {
        let mut runs: Vec<(String, u64, u64)> = Vec::new();
        for (number, version, worker) in &self.events {
            let source = format!("{version} at {worker}");
            match runs.last_mut() {
                Some((known, _, last)) if *known == source => *last = *number,
                _ => runs.push((source, *number, *number)),
            }
        }
        let text =
            |(source, first, last): &(String, u64, u64)| format!("{first} to {last} by {source}");
        runs.iter().map(text).collect()
    }
}

/// Returns whether more than two streams hold events from two software versions.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut record = Record::create(folder)?;
    let store = Store::start();
    store.put("op/config", configuration().as_bytes());
    let workers: Vec<StreamWorker> = WORKER_ZONES
        .iter()
        .enumerate()
        .map(|(at, zone)| StreamWorker::start(format!("i-{at}"), ZONES[*zone]))
        .collect();
    for worker in &workers {
        store.put(
            &format!("servers/{}", worker.id),
            worker.record(1).as_bytes(),
        );
    }
    let logs = log_folder("upgraded-in-place")?;
    let gateways = start_gateways(&store, &logs)?;
    let started = Instant::now();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        for client in 0..CLIENTS {
            let (streams, is_over, front) = (streams.clone(), is_over.clone(), gateway.front);
            clients.push(thread::spawn(move || {
                let mut number = 0;
                thread::sleep(Duration::from_millis(150 * client as u64));
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let stream = take(front, format!("{at}{client}{number:06}"), started.elapsed());
                    streams
                        .lock()
                        .expect("no panic under this lock")
                        .push(stream);
                }
            }));
        }
    }
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));
    if has_trouble {
        let worker = &workers[0];
        sleep_until(STORE_DOWN_AT);
        store.set_silent(true);
        sleep_until(UPGRADE_AT);
        worker.refuse_connections();
        sleep_until(UPGRADED_AT);
        worker.end();
        worker.start_again("v2");
        sleep_until(CRASH_AT);
        worker.end();
        sleep_until(BACK_AT);
        worker.start_again("v2");
        sleep_until(STORE_DOWN_AT + STORE_DOWN_FOR);
        store.set_silent(false);
        store.put(
            &format!("servers/{}", worker.id),
            worker.record(1).as_bytes(),
        );
        record.line(format!(
            "store silent from {:.1} s to {:.1} s; worker i-0 refuses new connections from {:.1} s on, is back at v2 at {:.1} s, crashes at {:.1} s, is back at {:.1} s; its new entry is written at {:.1} s",
            STORE_DOWN_AT.as_secs_f64(),
            (STORE_DOWN_AT + STORE_DOWN_FOR).as_secs_f64(),
            UPGRADE_AT.as_secs_f64(),
            UPGRADED_AT.as_secs_f64(),
            CRASH_AT.as_secs_f64(),
            BACK_AT.as_secs_f64(),
            (STORE_DOWN_AT + STORE_DOWN_FOR).as_secs_f64()
        ));
    }
    sleep_until(END_AT);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client doesn't panic");
    }
    drop(gateways);
    let streams = streams.lock().expect("no panic under this lock");
    let mut ends: BTreeMap<(&str, bool), usize> = BTreeMap::new();
    for stream in streams.iter() {
        *ends
            .entry((&stream.status, stream.is_complete))
            .or_default() += 1;
    }
    record.line(format!(
        "streams: {}; (status, complete): {ends:?}",
        streams.len()
    ));
    let other = streams
        .iter()
        .filter(|stream| stream.versions().contains("v2"));
    let mut by_second: BTreeMap<u64, usize> = BTreeMap::new();
    for stream in other {
        *by_second.entry(stream.sent_at.as_secs()).or_default() += 1;
    }
    record.line(format!(
        "streams with events of v2, by the second of their start: {by_second:?}"
    ));
    let joined = streams.iter().filter(|stream| stream.versions().len() > 1);
    for stream in joined.clone() {
        record.line(format!(
            "{:.3} s: stream {}, status {}, complete {}: events {}",
            stream.sent_at.as_secs_f64(),
            stream.id,
            stream.status,
            stream.is_complete,
            stream.runs().join(", ")
        ));
    }
    let joined = joined.count();
    record.line(format!("streams with events from two versions: {joined}"));
    Ok(joined > JOINED_ALLOWED)
}

/// Returns the operator's configuration: one route whose streams may be resumed.
fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-plan","host":"{HOST}","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":12000,"sloMs":500,"priority":0,"service":"{SERVICE}","maxAttempts":3,"public":true,"affinity":false,"resumable":true,"gapTargetMs":400}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Requests a stream and reads it to its end.
fn take(front: SocketAddr, id: String, sent_at: Duration) -> Stream {
    let mut taken = Stream {
        sent_at,
        id: id.clone(),
        status: String::new(),
        events: Vec::new(),
        is_complete: false,
    };
    if let Err(error) = read(front, &mut taken)
        && taken.status.is_empty()
    {
        taken.status = error.kind().to_string();
    }
    if taken.events.is_empty() {
        thread::sleep(RETRY_AFTER);
    }
    taken
}

fn read(front: SocketAddr, taken: &mut Stream) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, DEADLINE)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let head = format!(
        "POST /pufi791/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
        taken.id,
        DEADLINE.as_millis()
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    taken.status = first.split(' ').nth(1).unwrap_or("").to_owned();
    if content_length(&headers) > 0 {
        return Ok(());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            taken.is_complete = true;
            return Ok(());
        }
        let text = String::from_utf8_lossy(&chunk);
        let mut number = 0;
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                number = id.parse().unwrap_or(0);
            } else if let Some(data) = line.strip_prefix("data: ") {
                let mut words = data.split(' ').map(str::to_owned);
                let version = words.next().unwrap_or_default();
                taken
                    .events
                    .push((number, version, words.next().unwrap_or_default()));
            }
        }
    }
}
