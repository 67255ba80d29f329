//! Counts how clients' requests end, by service, route and the second in which they arrived.
//!
//! Each request of a client is one try; requests that another daemon forwards are counted there. Owns
//! the counts until they are logged (event 1317), behind one short lock for each request. A request
//! whose client has left is counted by the drop of its [`ClientTry`].

use bridgevane_events::{Event, event};
use bridgevane_types::ServiceName;
use http::StatusCode;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TryOutcome {
    /// With a complete answer of an endpoint that isn't a server error.
    Served,
    /// With a server error of an endpoint.
    ServerError,
    /// With a refusal of a daemon.
    Refused,
    /// With an answer that was broken off.
    BrokenOff,
    /// The client left before the end of the answer.
    ClientLeft,
}

impl TryOutcome {
    /// Returns the outcome of a complete answer of an endpoint.
    pub(crate) fn of_answer(status: StatusCode) -> Self {
        if status.is_server_error() {
            Self::ServerError
        } else {
            Self::Served
        }
    }
}

/// What tries are counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TryKey {
    /// The second of arrival, in Unix seconds of this VM.
    second: u64,
    service: ServiceName,
    route: String,
}

/// The counts of one key.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    served: u64,
    /// Those of `served` whose answer came through another daemon.
    served_by_daemons: u64,
    server_errors: u64,
    refused: u64,
    broken_off: u64,
    clients_left: u64,
}

impl OutcomeCounts {
    fn add(&mut self, outcome: TryOutcome, is_forwarded: bool) {
        match outcome {
            TryOutcome::Served => {
                self.served += 1;
                self.served_by_daemons += u64::from(is_forwarded);
            }
            TryOutcome::ServerError => self.server_errors += 1,
            TryOutcome::Refused => self.refused += 1,
            TryOutcome::BrokenOff => self.broken_off += 1,
            TryOutcome::ClientLeft => self.clients_left += 1,
        }
    }
}

/// The tries that ended since the counts were last logged.
#[derive(Debug, Default)]
pub(crate) struct TryCounts {
    counts: Mutex<BTreeMap<TryKey, OutcomeCounts>>,
}

impl TryCounts {
    fn add(&self, key: TryKey, outcome: TryOutcome, is_forwarded: bool) {
        let mut counts = self.counts.lock().expect("no panic under this lock");
        counts.entry(key).or_default().add(outcome, is_forwarded);
    }

    /// Logs the counts and forgets them.
    pub(crate) fn log(&self) {
        let mut counts = self.counts.lock().expect("no panic under this lock");
        let counts = std::mem::take(&mut *counts);
        for (key, counts) in counts {
            event!(
                Event::TriesCounted,
                second = key.second,
                service = key.service,
                route = key.route,
                served = counts.served,
                served_by_daemons = counts.served_by_daemons,
                server_errors = counts.server_errors,
                refused = counts.refused,
                broken_off = counts.broken_off,
                clients_left = counts.clients_left
            );
        }
    }
}

/// A client's try, counted when it is dropped.
#[derive(Debug)]
pub(crate) struct ClientTry {
    counts: Arc<TryCounts>,
    key: TryKey,
    outcome: TryOutcome,
    is_forwarded: bool,
}

impl ClientTry {
    /// Begins to count a request that has just arrived.
    pub(crate) fn begin(counts: &Arc<TryCounts>, service: &ServiceName, route: &str) -> Self {
        // A clock before 1970 counts as 1970.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            counts: counts.clone(),
            key: TryKey {
                second: since_epoch.unwrap_or_default().as_secs(),
                service: service.clone(),
                route: route.to_owned(),
            },
            outcome: TryOutcome::ClientLeft,
            is_forwarded: false,
        }
    }

    /// Records the outcome.
    pub(crate) fn end(&mut self, outcome: TryOutcome, is_forwarded: bool) {
        self.outcome = outcome;
        self.is_forwarded = is_forwarded;
    }
}

impl Drop for ClientTry {
    fn drop(&mut self) {
        let key = self.key.clone();
        self.counts.add(key, self.outcome, self.is_forwarded);
    }
}
