//! One run: starts the processes and callers, injects the plan's faults, and checks the record.

use crate::callers::{self, CallPace, Calls};
use crate::checks::{Violation, find_violations};
use crate::environment::{Environment, STREAM_EVENTS};
use crate::history::{CallEnd, Disruption, History, KeyRemoval, PlannedStop, WorkerDrain};
use crate::options::SoakOptions;
use crate::plan::{AnnouncementEvent, Fault, FaultEvent, LinkMode, Plan, WorkerAnnouncement};
use crate::plot::{self, PlotError};
use bridgevane_platform_emulator::{Announcement, Behaviour, Fault as StoreFault};
use derive_more::{Display, Error, From};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The duration of an answer of the slow store.
const SLOW_STORE: Duration = Duration::from_millis(300);
/// The time that daemons have to start before the calls begin.
const START_PERIOD: Duration = Duration::from_millis(1_000);

/// Longer than a planned stop may take (6 s); after this a stop counts as ended by another fault.
const STOP_LIMIT: Duration = Duration::from_millis(7_000);

/// The error of a run that couldn't be performed.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process, port or file isn't available.
    #[display("can't run the soak: {_0}")]
    System(std::io::Error),
    /// The plot can't be drawn.
    #[display("{_0}")]
    Plot(PlotError),
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct SoakOutcome {
    /// The plan of the run.
    pub plan: Plan,
    /// The record of the run.
    pub history: History,
    /// The violated guarantees.
    pub violations: Vec<Violation>,
}

impl SoakOutcome {
    /// Returns one line with the number of calls by their end, of faults and of violations.
    pub fn summary(&self) -> String {
        let calls = &self.history.calls;
        let count = |is: fn(&CallEnd) -> bool| calls.iter().filter(|call| is(&call.end)).count();
        let served = count(|end| matches!(end, CallEnd::Answered { status: 200, .. }));
        let refused = count(|end| {
            matches!(
                end,
                CallEnd::Answered {
                    status: 401 | 503,
                    ..
                }
            )
        });
        let answered = count(|end| matches!(end, CallEnd::Answered { .. }));
        let not_connected = count(|end| *end == CallEnd::NotConnected);
        format!(
            "seed {}: {} calls, {served} served, {refused} refused, {} failed, \
             {not_connected} not connected, {} cut or timed out; {} faults, {} broken",
            self.plan.seed,
            calls.len(),
            answered - served - refused,
            calls.len() - answered - not_connected,
            self.plan.events.len(),
            self.violations.len()
        )
    }
}

/// The part of the record that the tasks of faults write.
#[derive(Debug, Default)]
struct FaultRecord {
    removals: Vec<KeyRemoval>,
    drains: Vec<WorkerDrain>,
    stops: Vec<PlannedStop>,
    disruptions: Vec<Disruption>,
    undisturbed_from: Duration,
}

struct RunState {
    environment: Mutex<Environment>,
    record: Mutex<FaultRecord>,
    started: Instant,
}

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed; violations are part of the outcome.
pub async fn run(options: &SoakOptions) -> Result<SoakOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let plan = Plan::draw(options.seed, options.size);
    let mut environment = Environment::start(options).await?;
    sleep(START_PERIOD).await;
    environment.started = Instant::now();
    let started = environment.started;
    let calls = Calls::default();
    let pace = CallPace::default();
    let addresses = environment.client_addresses();
    let mut callers = callers::start(options, &addresses, started, &pace, &calls);
    let shared = Arc::new(RunState {
        environment: Mutex::new(environment),
        record: Mutex::default(),
        started,
    });
    let mut faults = JoinSet::new();
    for event in plan.events.iter().copied() {
        faults.spawn(inject_fault(shared.clone(), event));
    }
    for announcement in plan.announcements.iter().copied() {
        faults.spawn(make_announcement(shared.clone(), announcement));
    }
    while let Some(task) = faults.join_next().await {
        task.map_err(std::io::Error::other)??;
    }
    while callers.join_next().await.is_some() {}
    let record = std::mem::take(&mut *shared.record.lock().await);
    let mut environment = shared.environment.lock().await;
    let history = History {
        calls: calls.take(),
        runs: environment.runs(),
        arrivals: environment.arrivals(),
        ended_daemons: environment.stopped_daemons()?,
        removals: record.removals,
        drains: record.drains,
        stops: record.stops,
        disruptions: record.disruptions,
        undisturbed_from: record.undisturbed_from,
        stream_events: STREAM_EVENTS,
        serves_stale: options.serves_stale,
    };
    let plot_path = options.folder.join("served.svg");
    plot::draw(&plot_path, &plan, &history, options.size.duration)?;
    Ok(SoakOutcome {
        violations: find_violations(&history),
        plan,
        history,
    })
}

/// Injects one fault at its time, and records its period if it is unplanned.
async fn inject_fault(shared: Arc<RunState>, event: FaultEvent) -> Result<(), std::io::Error> {
    sleep_until(shared.started + event.at).await;
    let from = shared.started.elapsed();
    let is_planned = apply_fault(&shared, event).await?;
    let to = shared.started.elapsed();
    let mut record = shared.record.lock().await;
    if !is_planned {
        record.disruptions.push(Disruption { from, to });
    }
    if !is_planned {
        record.undisturbed_from = record.undisturbed_from.max(to);
    }
    Ok(())
}

/// Lets a worker make an announcement for a while; this isn't recorded as a fault.
async fn make_announcement(
    shared: Arc<RunState>,
    event: AnnouncementEvent,
) -> Result<(), std::io::Error> {
    sleep_until(shared.started + event.at).await;
    let worker = shared.environment.lock().await.worker(event.worker);
    match event.announcement {
        WorkerAnnouncement::Limit(per_s) => {
            worker.announce(Some(Announcement::Limit(per_s)));
            sleep(event.lasts).await;
            worker.announce(None);
        }
        WorkerAnnouncement::Leaving => {
            worker.announce(Some(Announcement::Leaving));
            sleep(event.lasts).await;
            let mut environment = shared.environment.lock().await;
            // Another fault may have replaced the worker.
            if environment.worker(event.worker).id == worker.id {
                environment.replace_worker(event.worker).await?;
            }
        }
        WorkerAnnouncement::Backoff(backoff) => {
            worker.set_behaviour(Behaviour::Full);
            worker.announce(Some(Announcement::Backoff(backoff)));
            sleep(event.lasts).await;
            worker.announce(None);
            let environment = shared.environment.lock().await;
            if environment.worker(event.worker).id == worker.id {
                environment.restore_behaviour(event.worker);
            }
        }
    }
    Ok(())
}

/// Applies a fault and ends it after its duration; returns whether it was planned work.
async fn apply_fault(shared: &RunState, event: FaultEvent) -> Result<bool, std::io::Error> {
    let lasts = event.lasts;
    match event.fault {
        Fault::Kill(at) => kill_and_restart(shared, &[at]).await?,
        Fault::KillAll => {
            let count = shared.environment.lock().await.daemons.len();
            let all: Vec<usize> = (0..count).collect();
            kill_and_restart(shared, &all).await?;
        }
        Fault::Pause(at) => {
            shared.environment.lock().await.daemons[at].signal(Signal::STOP);
            sleep(lasts).await;
            shared.environment.lock().await.daemons[at].signal(Signal::CONT);
        }
        Fault::Stop(at) => {
            stop_and_restart(shared, at).await?;
            return Ok(true);
        }
        Fault::Reload(at) => {
            shared.environment.lock().await.daemons[at].signal(Signal::HUP);
            return Ok(true);
        }
        Fault::StoreSilent => disturb_store(shared, StoreFault::Silent, lasts).await,
        Fault::StoreBusy => disturb_store(shared, StoreFault::Busy, lasts).await,
        Fault::StoreSlow => disturb_store(shared, StoreFault::Slow(SLOW_STORE), lasts).await,
        Fault::StoreForgets => shared.environment.lock().await.store.discard_history(),
        Fault::Link(link, mode) => {
            shared.environment.lock().await.set_link(link, mode);
            sleep(lasts).await;
            let passes = LinkMode::Passes;
            shared.environment.lock().await.set_link(link, passes);
        }
        Fault::ReplaceWorker(at) => {
            drain_worker(shared, at).await?;
            return Ok(true);
        }
        Fault::WorkerFails(at) => disturb_worker(shared, at, Behaviour::Fails, lasts).await,
        Fault::WorkerFull(at) => disturb_worker(shared, at, Behaviour::Full, lasts).await,
        Fault::WorkerBreaksOff(at) => {
            disturb_worker(shared, at, Behaviour::BreaksOff(3), lasts).await
        }
        Fault::ChangeConfig => {
            shared.environment.lock().await.change_config();
            return Ok(true);
        }
        Fault::RemoveKey => {
            remove_key(shared).await;
            return Ok(true);
        }
    }
    Ok(false)
}

async fn kill_and_restart(shared: &RunState, daemons: &[usize]) -> Result<(), std::io::Error> {
    let mut environment = shared.environment.lock().await;
    for at in daemons {
        environment.daemons[*at].signal(Signal::KILL);
    }
    for at in daemons {
        environment.daemons[*at].wait_for_end().await?;
        environment.daemons[*at].restart()?;
    }
    Ok(())
}

/// Stops a daemon as planned and starts it again when it has ended.
async fn stop_and_restart(shared: &RunState, at: usize) -> Result<(), std::io::Error> {
    let from = shared.started.elapsed();
    shared.environment.lock().await.daemons[at].signal(Signal::TERM);
    // The lock is free in between: other faults may occur, including a kill of this daemon.
    loop {
        sleep(Duration::from_millis(20)).await;
        let mut environment = shared.environment.lock().await;
        if environment.daemons[at].has_ended()? {
            environment.daemons[at].restart()?;
            break;
        }
        // Another fault killed the daemon and started it again: this stop is over.
        if shared.started.elapsed() > from + STOP_LIMIT {
            break;
        }
    }
    let to = shared.started.elapsed();
    let stop = PlannedStop {
        daemon: at,
        from,
        to,
    };
    shared.record.lock().await.stops.push(stop);
    Ok(())
}

async fn disturb_store(shared: &RunState, fault: StoreFault, lasts: Duration) {
    shared.environment.lock().await.store.set_fault(Some(fault));
    sleep(lasts).await;
    shared.environment.lock().await.store.set_fault(None);
}

async fn disturb_worker(shared: &RunState, at: usize, behaviour: Behaviour, lasts: Duration) {
    shared.environment.lock().await.set_behaviour(at, behaviour);
    sleep(lasts).await;
    shared.environment.lock().await.restore_behaviour(at);
}

async fn drain_worker(shared: &RunState, at: usize) -> Result<(), std::io::Error> {
    let drained = shared.environment.lock().await.replace_worker(at).await?;
    let drain = WorkerDrain {
        worker: drained.id,
        at: shared.started.elapsed(),
    };
    shared.record.lock().await.drains.push(drain);
    Ok(())
}

async fn remove_key(shared: &RunState) {
    let removed = shared.environment.lock().await.remove_key();
    let at = shared.started.elapsed();
    if let Some(key) = removed {
        let key = key.to_owned();
        let removal = KeyRemoval { key, at };
        shared.record.lock().await.removals.push(removal);
    }
}
