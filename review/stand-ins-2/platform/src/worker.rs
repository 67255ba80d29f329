//! A worker of a plain service, as PROTOCOL.md describes it.

use crate::http::{self, Answer, Request};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a request takes: `work ms` of the site's sheet.
const WORK: Duration = Duration::from_millis(15);

/// A running worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
    /// Of how many answers one is spoiled; 0: of none.
    spoiled_of: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

impl Worker {
    /// Spoils one of this number of answers from now on; 0: none.
    pub fn spoil(&self, one_of: usize) {
        self.spoiled_of.store(one_of, Ordering::Relaxed);
    }

    /// Starts a worker on a free port.
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound listener"),
            ran: Arc::default(),
            spoiled_of: Arc::default(),
            answered: Arc::default(),
        };
        let served = worker.clone();
        http::serve(listener, move |request| served.answer(&request));
        worker
    }

    /// Returns the identifiers of the requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        self.ran.lock().expect("no panic under this lock").clone()
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.header("target-instance") != self.id {
            return Answer::new(421, "").with("Instance-Id", &self.id);
        }
        let id = request.header("attempt-id").to_owned();
        self.ran
            .lock()
            .expect("no panic under this lock")
            .push(id.clone());
        thread::sleep(WORK);
        let answered = self.answered.fetch_add(1, Ordering::Relaxed) + 1;
        let spoiled_of = self.spoiled_of.load(Ordering::Relaxed);
        if spoiled_of > 0 && answered.is_multiple_of(spoiled_of) {
            // Wrong bytes: neither the signature nor the body of an answer.
            return Answer::new(200, "\u{1}\u{2}\u{3}\u{4}").with("Attempt-Id", &id);
        }
        Answer::new(200, format!("booked {id}\n"))
            .with("Attempt-Id", &id)
            .with("Response-Signature", format!("{}.{id}", self.id))
            .with("Instance-Load", "1,0,6")
    }

    /// Returns its record in the store, with every field of the pages.
    pub fn record(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":4,"born":1780000000000}}"#,
            self.address
        )
    }
}
