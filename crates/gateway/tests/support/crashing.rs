//! Engines of one service that end when they run a certain request, and start again under new ids.

use super::endpoint::{Act, Endpoint, Seen, answer};
use super::source::ScriptedSource;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The body of the request that ends every engine that runs it.
pub const DEADLY: &str = "a prompt that no engine survives";
/// How long a start takes.
const RESTART: Duration = Duration::from_millis(150);

/// Engines of the service "plain"; clones share one state.
#[derive(Clone)]
pub struct CrashingEngines {
    source: ScriptedSource,
    /// How long a request runs, whatever becomes of it.
    run: Duration,
    started: Arc<Mutex<Vec<Endpoint>>>,
}

impl CrashingEngines {
    /// Starts so many, each of which runs a request for `run`.
    pub async fn start(source: &ScriptedSource, count: usize, run: Duration) -> Self {
        let engines = Self {
            source: source.clone(),
            run,
            started: Arc::default(),
        };
        for _ in 0..count {
            let (id, endpoint) = engines.start_one().await;
            tokio::spawn(engines.clone().keep_running(id, endpoint));
        }
        engines
    }

    async fn start_one(&self) -> (String, Endpoint) {
        let run = self.run;
        let endpoint = Endpoint::start_by(move |_, seen| acts(run, seen)).await;
        let id = {
            let mut started = self.started.lock().unwrap();
            started.push(endpoint.clone());
            format!("e-{}", started.len())
        };
        self.source.endpoint(&id, "plain", endpoint.address);
        (id, endpoint)
    }

    /// Starts an engine again whenever it has ended.
    async fn keep_running(self, mut id: String, mut endpoint: Endpoint) {
        loop {
            endpoint.ended.cancelled().await;
            tokio::time::sleep(RESTART).await;
            self.source.gone(&id);
            (id, endpoint) = self.start_one().await;
        }
    }

    /// Engines that have ended.
    pub fn ended(&self) -> usize {
        let started = self.started.lock().unwrap();
        let ended = started.iter().filter(|engine| engine.ended.is_cancelled());
        ended.count()
    }

    /// Requests with this body that have reached engines.
    pub fn reached(&self, body: &str) -> usize {
        let started = self.started.lock().unwrap();
        let reached = |engine: &Endpoint| {
            let seen = engine.seen.lock().unwrap();
            let equal = seen.iter().filter(|seen| seen.body == body.as_bytes());
            equal.count()
        };
        started.iter().map(reached).sum()
    }
}

fn acts(run: Duration, seen: &Seen) -> Vec<Act> {
    if seen.body == DEADLY.as_bytes() {
        vec![Act::Wait(run), Act::Crash]
    } else {
        vec![Act::Wait(run), answer("200 OK", "fine")]
    }
}
