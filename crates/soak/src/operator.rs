//! An operator that changes routes and keys again and again, and writes its newest configuration again
//! after the store came back from a copy.

use crate::callers::Body;
use crate::confirmed_versions::{ConfirmedVersions, ProbeKind, Touch};
use bridgevane_platform_emulator::{
    CONFIG_KEY, EmulatedStore, add_plain_routes, document_with_customers, keyed_request,
};
use http::Request;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time between two versions.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// The number of routes and of keys that each version has beside the permanent ones.
const ROTATING: u64 = 8;
/// A key that all versions have.
const PERMANENT_KEY: &str = "key-0";
/// A route that all versions have.
const PERMANENT_ROUTE: &str = "once";

#[derive(Debug, Default)]
struct State {
    version: u64,
    document: Value,
    is_away: bool,
    confirmed: ConfirmedVersions,
}

/// The operator. Clones share its state.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    store: EmulatedStore,
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Operator {
    pub(crate) fn new(store: EmulatedStore, started: Instant) -> Self {
        let state = State {
            version: 1,
            ..State::default()
        };
        Self {
            store,
            started,
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Writes a version each interval while the store is there.
    pub(crate) async fn run(self) {
        loop {
            self.write_next();
            sleep(INTERVAL).await;
        }
    }

    fn write_next(&self) {
        let mut state = self.state();
        if state.is_away {
            return;
        }
        state.version += 1;
        let newest = state.version;
        let numbers: BTreeSet<u64> = (newest.saturating_sub(ROTATING) + 1..=newest).collect();
        state.document = document(newest, &numbers);
        self.store.put(CONFIG_KEY, &state.document);
        let at = self.started.elapsed();
        state
            .confirmed
            .on_acknowledged(at, numbers.clone(), numbers);
    }

    /// Stops writing: the store goes away.
    pub(crate) fn on_store_away(&self) {
        self.state().is_away = true;
    }

    /// Writes the newest version again, and goes on.
    pub(crate) fn write_again(&self) {
        let mut state = self.state();
        self.store.put(CONFIG_KEY, &state.document);
        state.is_away = false;
    }

    /// Returns the numbers that a probe may ask a daemon for now.
    pub(crate) fn askable(&self, kind: ProbeKind, touch: Touch) -> Vec<u64> {
        let now = self.started.elapsed();
        self.state().confirmed.askable(kind, touch, now)
    }

    /// Returns whether the newest version has what a probe asked for.
    pub(crate) fn newest_has(&self, kind: ProbeKind, number: u64) -> bool {
        self.state().confirmed.newest_has(kind, number)
    }
}

fn document(version: u64, numbers: &BTreeSet<u64>) -> Value {
    let keys: Vec<String> = numbers.iter().map(|number| key(*number)).collect();
    let mut keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    keys.push(PERMANENT_KEY);
    let mut document = document_with_customers(version, &[("customer", &keys)]);
    let routes: Vec<String> = numbers.iter().map(|number| route_name(*number)).collect();
    add_plain_routes(&mut document, &routes);
    document
}

fn key(number: u64) -> String {
    format!("rotating-key-{number}")
}

fn route_name(number: u64) -> String {
    format!("rotating-{number}")
}

/// Returns a probe of a route or key.
pub(crate) fn probe(kind: ProbeKind, number: u64, id: &str, deadline_ms: u64) -> Request<Body> {
    let (name, key) = match kind {
        ProbeKind::ConfirmedRoute | ProbeKind::RemovedRoute => {
            (route_name(number), PERMANENT_KEY.to_owned())
        }
        ProbeKind::ConfirmedKey | ProbeKind::RemovedKey => {
            (PERMANENT_ROUTE.to_owned(), key(number))
        }
    };
    let request = keyed_request(&format!("/{name}/x"), id, &key, deadline_ms);
    let (head, _) = request.into_parts();
    Request::from_parts(head, Body::from("hi"))
}
