//! Clients of one service: each sends one booking after the other.

use crate::http;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The deadline of a booking, by the site's sheet.
const DEADLINE: Duration = Duration::from_millis(600);
/// The path of the bookings' route.
pub const ROUTE: &str = "/puxa403/";
/// The host of the bookings' route.
pub const HOST: &str = "ficu95.example";

/// How one booking ended.
#[derive(Clone, Debug)]
pub struct Booking {
    /// When it was sent, from the start of the clients.
    pub sent_at: Duration,
    pub id: String,
    /// The status, or why there was none.
    pub result: String,
    /// The signature of the answer.
    pub signature: String,
    /// The length of its body, in bytes.
    pub body_bytes: usize,
}

/// Returns the operator's configuration: one route for bookings, which may run once, without keys.
pub fn configuration(service: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-booking","host":"{HOST}","pathPrefix":"{ROUTE}","kind":"non_idempotent","timeoutMs":600,"sloMs":100,"priority":1,"service":"{service}","maxAttempts":1,"public":true,"affinity":false,"resumable":false}}],"services":[{{"name":"{service}","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Clients that send until they are stopped.
#[derive(Debug)]
pub struct Clients {
    bookings: Arc<Mutex<Vec<Booking>>>,
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients at each of the addresses, with this pause between two bookings.
    pub fn start(fronts: &[SocketAddr], count: usize, pause: Duration) -> Self {
        let mut clients = Self {
            bookings: Arc::default(),
            is_stopped: Arc::default(),
            threads: Vec::new(),
        };
        let started = Instant::now();
        let numbers = Arc::new(AtomicU64::new(1));
        for front in fronts.iter().flat_map(|front| vec![*front; count]) {
            let (bookings, numbers) = (clients.bookings.clone(), numbers.clone());
            let is_stopped = clients.is_stopped.clone();
            clients.threads.push(thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let booking = book(front, started.elapsed(), format!("{number:016x}"));
                    let mut bookings = bookings.lock().expect("no panic under this lock");
                    bookings.push(booking);
                    drop(bookings);
                    thread::sleep(pause);
                }
            }));
        }
        clients
    }

    /// Stops the clients and returns all bookings.
    pub fn stop(self) -> Vec<Booking> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client doesn't panic");
        }
        let bookings = self.bookings.lock().expect("no panic under this lock");
        bookings.clone()
    }
}

fn book(front: SocketAddr, sent_at: Duration, id: String) -> Booking {
    let head = format!(
        "POST {ROUTE}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nConnection: close\r\n",
        DEADLINE.as_millis()
    );
    let limit = DEADLINE + Duration::from_millis(100);
    let answer = http::call(front, &head, b"saturday 10:00, violin", limit);
    let signature = answer
        .as_ref()
        .map_or("", |answer| answer.header("response-signature"));
    Booking {
        sent_at,
        body_bytes: answer.as_ref().map_or(0, |answer| answer.body.len()),
        signature: signature.to_owned(),
        result: answer
            .as_ref()
            .map_or_else(Clone::clone, |answer| answer.status.to_string()),
        id,
    }
}
