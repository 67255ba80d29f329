//! Engines of one service that crash when they run a certain request, and restart under new ids.

use super::endpoint::{Action, Endpoint, ReceivedRequest, answer};
use super::source::ScriptedSource;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The body of the request that crashes every engine that runs it.
pub const CRASHING_BODY: &str = "a prompt that no engine survives";
/// How long a restart takes.
const RESTART_TIME: Duration = Duration::from_millis(150);

/// Engines of the service "plain"; clones share one state.
#[derive(Clone)]
pub struct CrashingEngines {
    source: ScriptedSource,
    /// How long a request runs before it is answered or crashes the engine.
    run_time: Duration,
    started: Arc<Mutex<Vec<Endpoint>>>,
}

impl CrashingEngines {
    /// Starts `count` engines, each of which runs a request for `run_time`.
    pub async fn start(source: &ScriptedSource, count: usize, run_time: Duration) -> Self {
        let engines = Self {
            source: source.clone(),
            run_time,
            started: Arc::default(),
        };
        for _ in 0..count {
            let (id, endpoint) = engines.start_one().await;
            tokio::spawn(engines.clone().restart_after_crashes(id, endpoint));
        }
        engines
    }

    async fn start_one(&self) -> (String, Endpoint) {
        let run_time = self.run_time;
        let endpoint = Endpoint::start_by_request(move |_, seen| actions(run_time, seen)).await;
        let id = {
            let mut started = self.started.lock().unwrap();
            started.push(endpoint.clone());
            format!("e-{}", started.len())
        };
        self.source.publish_endpoint(&id, "plain", endpoint.address);
        (id, endpoint)
    }

    /// Restarts an engine after each crash, under a new id.
    async fn restart_after_crashes(self, mut id: String, mut endpoint: Endpoint) {
        loop {
            endpoint.crashed.cancelled().await;
            tokio::time::sleep(RESTART_TIME).await;
            self.source.remove_endpoint(&id);
            (id, endpoint) = self.start_one().await;
        }
    }

    /// Returns the number of crashes.
    pub fn crashed(&self) -> usize {
        let started = self.started.lock().unwrap();
        let crashed = started
            .iter()
            .filter(|engine| engine.crashed.is_cancelled());
        crashed.count()
    }

    /// Returns the number of requests with this body that engines have received.
    pub fn received(&self, body: &str) -> usize {
        let started = self.started.lock().unwrap();
        let received = |engine: &Endpoint| {
            let requests = engine.received.lock().unwrap();
            let equal = requests
                .iter()
                .filter(|request| request.body == body.as_bytes());
            equal.count()
        };
        started.iter().map(received).sum()
    }
}

fn actions(run_time: Duration, request: &ReceivedRequest) -> Vec<Action> {
    if request.body == CRASHING_BODY.as_bytes() {
        vec![Action::Wait(run_time), Action::Crash]
    } else {
        vec![Action::Wait(run_time), answer("200 OK", "fine")]
    }
}
