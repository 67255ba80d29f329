//! A worker of a plain service, as PROTOCOL.md describes it.

use crate::http::{self, Answer, Request};
use std::net::{SocketAddr, TcpListener};
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
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound listener"),
            ran: Arc::default(),
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
