//! One run in which workers leave while the store refuses daemons, the seeds among them, and single daemons
//! are frozen and stopped. Clients keep their connections; no request may reach a worker too late.

use crate::connections::Connections;
use crate::copy_environment::{CopyEnvironment, SEED_DAEMONS};
use crate::cut_path::PathState;
use crate::departure_plan::{Departure, DeparturePlan, Interruption, Refusal, RefusalKind};
use crate::environment::{KEYS, normal_behaviour};
use crate::options::SoakOptions;
use crate::processes::DaemonBounds;
use crate::run::SoakError;
use bridgevane_platform_emulator::{Announcement, EmulatedStore, PLAIN, Worker, keyed_request};
use derive_more::Display;
use http::Request;
use rustix::process::Signal;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The time after its departure after which no request may reach a worker (`--drain-ms`).
pub const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// The bounds with which daemons are started.
const BOUNDS: DaemonBounds = DaemonBounds {
    key_removal: Duration::from_millis(5_000),
    config_apply: Some(Duration::from_millis(3_000)),
    drain: Some(DRAIN_BOUND),
    memory_mb: None,
};
/// The number of workers of the plain service at a time.
const PLAIN_WORKERS: usize = 6;
/// The data centres of later workers.
const DATA_CENTRES: usize = 3;
/// The time that daemons have to become ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// The time after an interruption after which a daemon counts as in touch again.
const CONTACT_PERIOD: Duration = Duration::from_millis(4_000);
/// The time that a daemon has to end after a stop signal, more than its `--stop-s`.
const STOP_LIMIT: Duration = Duration::from_secs(9);
/// The time between two questions whether a process has ended.
const END_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// The clients of a daemon.
const CLIENTS: usize = 2;
/// The deadline of a request.
const DEADLINE_MS: u64 = 1_000;
/// The timeout of a request, some time longer than its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request that reached a worker too late.
#[derive(Clone, Debug, Display)]
#[display("{worker} ({departure}) got {request} {} ms after its departure at {} ms", after.as_millis(), left_at.as_millis())]
pub struct LateRequest {
    /// The worker.
    pub worker: String,
    /// How it left.
    pub departure: Departure,
    /// When it left, from the start of the run.
    pub left_at: Duration,
    /// How much later the request arrived.
    pub after: Duration,
    /// The request: its daemon, and a number.
    pub request: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct DepartureOutcome {
    /// The plan of the run.
    pub plan: DeparturePlan,
    /// The number of answers with a success.
    pub served: usize,
    /// The number of other answers.
    pub refused: usize,
    /// The number of requests that reached workers after their departure.
    pub after_departure: usize,
    /// The requests that reached workers too late.
    pub late: Vec<LateRequest>,
}

impl DepartureOutcome {
    /// Returns one line with the numbers of requests.
    pub fn summary(&self) -> String {
        let latest = self.late.iter().map(|late| late.after.as_millis()).max();
        format!(
            "seed {}: {} departures, {} refusals, {} interruptions; {} served, {} not; {} after a departure, {} too late, the latest after {} ms",
            self.plan.seed,
            self.plan.departures.len(),
            self.plan.refusals.len(),
            self.plan.interruptions.len(),
            self.served,
            self.refused,
            self.after_departure,
            self.late.len(),
            latest.unwrap_or_default(),
        )
    }
}

/// A worker that has left.
#[derive(Clone, Debug)]
struct Departed {
    worker: Worker,
    departure: Departure,
    left_at: Instant,
}

/// The times in which a daemon is out of touch.
type OutOfTouch = BTreeMap<usize, Vec<(Instant, Instant)>>;

#[derive(Clone)]
struct DepartureRun {
    environment: Arc<tokio::sync::Mutex<CopyEnvironment>>,
    store: EmulatedStore,
    started: Instant,
    until: Instant,
    departed: Arc<Mutex<Vec<Departed>>>,
    out_of_touch: Arc<Mutex<OutOfTouch>>,
    answers: Arc<Mutex<(usize, usize)>>,
}

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed; late requests are part of the outcome.
pub async fn run_departures(options: &SoakOptions) -> Result<DepartureOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let size = options.size;
    let plan = DeparturePlan::draw(options.seed, size.duration, size.daemons, SEED_DAEMONS);
    let environment = CopyEnvironment::start(options, BOUNDS).await?;
    environment
        .wait_until_ready(Instant::now() + START_LIMIT)
        .await;
    let started = Instant::now();
    let run = DepartureRun {
        store: environment.store.clone(),
        environment: Arc::new(tokio::sync::Mutex::new(environment)),
        started,
        until: started + size.duration,
        departed: Arc::default(),
        out_of_touch: Arc::default(),
        answers: Arc::default(),
    };
    let mut events = JoinSet::new();
    events.spawn(run.clone().let_workers_leave(plan.departures.clone()));
    events.spawn(run.clone().refuse(plan.refusals.clone()));
    for (at, daemon, interruption) in plan.interruptions.iter().copied() {
        events.spawn(run.clone().interrupt(at, daemon, interruption));
    }
    run.start_clients().await.join_all().await;
    for event in events.join_all().await {
        event?;
    }
    Ok(run.outcome(plan))
}

impl DepartureRun {
    async fn let_workers_leave(
        self,
        departures: Vec<(Duration, Departure)>,
    ) -> Result<(), std::io::Error> {
        let mut present: VecDeque<Worker> = self.plain_workers().await;
        for (number, (at, departure)) in departures.into_iter().enumerate() {
            sleep_until(self.started + at).await;
            present.push_back(self.start_worker(number).await);
            if present.len() <= PLAIN_WORKERS {
                continue;
            }
            let Some(worker) = present.pop_front() else {
                continue;
            };
            worker.announce(Some(Announcement::Closing));
            match departure {
                Departure::Removed => self.store.remove(&worker.key()),
                Departure::Draining => {
                    let record = worker.record(PLAIN, &data_centre(number), "draining");
                    self.store.put(&worker.key(), &record)
                }
            };
            let departed = Departed {
                worker,
                departure,
                left_at: Instant::now(),
            };
            self.departed.lock().expect("no panic").push(departed);
        }
        Ok(())
    }

    /// Returns the workers of the plain service that the environment has started.
    async fn plain_workers(&self) -> VecDeque<Worker> {
        let environment = self.environment.lock().await;
        environment.workers.iter().step_by(2).cloned().collect()
    }

    async fn start_worker(&self, number: usize) -> Worker {
        let worker = Worker::start(&format!("i-later-{number}"), normal_behaviour(PLAIN)).await;
        let record = worker.record(PLAIN, &data_centre(number), "ready");
        self.store.put(&worker.key(), &record);
        worker
    }

    async fn refuse(self, refusals: Vec<Refusal>) -> Result<(), std::io::Error> {
        for refusal in refusals {
            sleep_until(self.started + refusal.at).await;
            let state = match refusal.kind {
                RefusalKind::Refused => PathState::Reset,
                RefusalKind::Silent => PathState::Silent,
            };
            self.set_paths(&refusal, state).await;
            sleep(refusal.lasts).await;
            self.set_paths(&refusal, PathState::Open).await;
        }
        Ok(())
    }

    async fn set_paths(&self, refusal: &Refusal, state: PathState) {
        let environment = self.environment.lock().await;
        for daemon in &refusal.daemons {
            environment.set_store_path(*daemon, state);
        }
    }

    async fn interrupt(
        self,
        at: Duration,
        daemon: usize,
        interruption: Interruption,
    ) -> Result<(), std::io::Error> {
        sleep_until(self.started + at).await;
        let from = Instant::now();
        match interruption {
            Interruption::Frozen(lasts) => {
                self.signal(daemon, Signal::STOP).await;
                sleep(lasts).await;
                self.signal(daemon, Signal::CONT).await;
            }
            Interruption::Stopped => self.stop_and_start(daemon).await?,
        }
        let times = (from, Instant::now() + CONTACT_PERIOD);
        let mut out_of_touch = self.out_of_touch.lock().expect("no panic");
        out_of_touch.entry(daemon).or_default().push(times);
        Ok(())
    }

    async fn signal(&self, daemon: usize, signal: Signal) {
        self.environment.lock().await.daemons[daemon].signal(signal);
    }

    async fn stop_and_start(&self, daemon: usize) -> Result<(), std::io::Error> {
        self.signal(daemon, Signal::CONT).await;
        self.signal(daemon, Signal::TERM).await;
        let until = Instant::now() + STOP_LIMIT;
        while Instant::now() < until {
            sleep(END_INTERVAL).await;
            let mut environment = self.environment.lock().await;
            if environment.daemons[daemon].has_ended()? {
                return environment.daemons[daemon].restart();
            }
        }
        Ok(())
    }

    async fn start_clients(&self) -> JoinSet<()> {
        let addresses = self.environment.lock().await.client_addresses();
        let mut clients = JoinSet::new();
        for (daemon, address) in addresses.into_iter().enumerate() {
            for client in 0..CLIENTS {
                clients.spawn(self.clone().send_requests(daemon, client, address));
            }
        }
        clients
    }

    async fn send_requests(self, daemon: usize, client: usize, address: SocketAddr) {
        let connections = Connections::new(address);
        let mut number = 0;
        while Instant::now() < self.until {
            number += 1;
            let id = format!("d{daemon}-{client}-{number}");
            let (head, _) = keyed_request("/once/1", &id, KEYS[0], DEADLINE_MS).into_parts();
            let asking = connections.ask(Request::from_parts(head, "hi".into()));
            if let Ok(Some(status)) = timeout(REQUEST_TIMEOUT, asking).await {
                let mut answers = self.answers.lock().expect("no panic");
                answers.0 += usize::from(status == 200);
                answers.1 += usize::from(status != 200);
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Compares the requests that reached workers with their departures.
    fn outcome(&self, plan: DeparturePlan) -> DepartureOutcome {
        let departed = self.departed.lock().expect("no panic").clone();
        let answers = *self.answers.lock().expect("no panic");
        let mut outcome = DepartureOutcome {
            plan,
            served: answers.0,
            refused: answers.1,
            ..DepartureOutcome::default()
        };
        for departed in departed {
            for arrival in departed.worker.arrivals() {
                let at = Instant::from_std(arrival.at);
                if at <= departed.left_at {
                    continue;
                }
                outcome.after_departure += 1;
                let after = at - departed.left_at;
                if after > DRAIN_BOUND && self.is_in_touch(&arrival.id, at) {
                    outcome.late.push(LateRequest {
                        worker: departed.worker.id.clone(),
                        departure: departed.departure,
                        left_at: departed.left_at - self.started,
                        after,
                        request: arrival.id,
                    });
                }
            }
        }
        outcome
    }

    /// Returns whether the daemon of a request was in touch at a time.
    fn is_in_touch(&self, request: &str, at: Instant) -> bool {
        let daemon = request.trim_start_matches('d').split('-').next();
        let daemon = daemon.and_then(|daemon| daemon.parse().ok());
        let out_of_touch = self.out_of_touch.lock().expect("no panic");
        let times = daemon.and_then(|daemon: usize| out_of_touch.get(&daemon));
        let mut times = times.into_iter().flatten();
        !times.any(|(from, to)| (*from..*to).contains(&at))
    }
}

fn data_centre(number: usize) -> String {
    format!("z{}", number % DATA_CENTRES)
}
