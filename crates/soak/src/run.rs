//! One run: a stage, callers, the faults of a plan, and the verdict.

use crate::checks::{Broken, broken};
use crate::clients::{Caller, Calls};
use crate::history::{Disruption, End, History, Leaving, PlannedStop, Removal};
use crate::options::Options;
use crate::plan::{Event, Fault, LinkMode, Plan, WishEvent, WorkerWish};
use crate::plot::{self, PlotError};
use crate::stage::{STREAM_EVENTS, Stage};
use bridgevane_platform_emulator::{Behaviour, Fault as StoreFault, Wish};
use derive_more::{Display, Error, From};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Answers of a slow store take so long.
const SLOW_STORE: Duration = Duration::from_millis(300);
/// How long daemons may take to start.
const START_LIMIT: Duration = Duration::from_millis(1_000);

/// The longest planned stop.
const STOP_LIMIT: Duration = Duration::from_millis(7_000);

/// A run can't be made.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process, a port or a file is not to be had.
    #[display("the run can't be made: {_0}")]
    System(std::io::Error),
    /// The plot can't be drawn.
    #[display("{_0}")]
    Plot(PlotError),
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What went wrong by plan.
    pub plan: Plan,
    /// What was seen.
    pub history: History,
    /// The promises that were broken.
    pub broken: Vec<Broken>,
}

impl Outcome {
    /// One line: how many calls ended how, and how many promises were broken.
    pub fn summary(&self) -> String {
        let calls = &self.history.calls;
        let count = |is: fn(&End) -> bool| calls.iter().filter(|call| is(&call.end)).count();
        let served = count(|end| matches!(end, End::Answered { status: 200, .. }));
        let refused = count(|end| {
            matches!(
                end,
                End::Answered {
                    status: 401 | 503,
                    ..
                }
            )
        });
        let answered = count(|end| matches!(end, End::Answered { .. }));
        let not_connected = count(|end| *end == End::NotConnected);
        format!(
            "seed {}: {} calls, {served} served, {refused} refused, {} failed, \
             {not_connected} not connected, {} cut or timed out; {} faults, {} broken",
            self.plan.seed,
            calls.len(),
            answered - served - refused,
            calls.len() - answered - not_connected,
            self.plan.events.len(),
            self.broken.len()
        )
    }
}

/// What the faults note beside what callers and workers see.
#[derive(Debug, Default)]
struct Notes {
    removals: Vec<Removal>,
    leavings: Vec<Leaving>,
    stops: Vec<PlannedStop>,
    disruptions: Vec<Disruption>,
    calm_from: Duration,
}

struct Shared {
    stage: Mutex<Stage>,
    notes: Mutex<Notes>,
    started: Instant,
}

/// Makes one run.
///
/// # Errors
/// [`SoakError`] when it can't be made; broken promises are part of the outcome.
pub async fn run(options: &Options) -> Result<Outcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let plan = Plan::draw(options.seed, options.scale);
    let mut stage = Stage::start(options).await?;
    sleep(START_LIMIT).await;
    stage.started = Instant::now();
    let started = stage.started;
    let until = started + options.scale.length;
    let calls = Calls::default();
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let caller = Caller {
            number,
            seed: options.seed,
            doors: stage.doors(),
            started,
            until,
            calls: calls.clone(),
        };
        callers.spawn(caller.run());
    }
    let shared = Arc::new(Shared {
        stage: Mutex::new(stage),
        notes: Mutex::default(),
        started,
    });
    let mut faults = JoinSet::new();
    for event in plan.events.iter().copied() {
        faults.spawn(play(shared.clone(), event));
    }
    for wish in plan.wishes.iter().copied() {
        faults.spawn(play_wish(shared.clone(), wish));
    }
    while let Some(played) = faults.join_next().await {
        played.map_err(std::io::Error::other)??;
    }
    while callers.join_next().await.is_some() {}
    let notes = std::mem::take(&mut *shared.notes.lock().await);
    let mut stage = shared.stage.lock().await;
    let history = History {
        calls: calls.take(),
        runs: stage.runs(),
        arrivals: stage.arrivals(),
        ended: stage.ended()?,
        removals: notes.removals,
        leavings: notes.leavings,
        stops: notes.stops,
        disruptions: notes.disruptions,
        calm_from: notes.calm_from,
        stream_events: STREAM_EVENTS,
        serves_stale: options.serves_stale,
    };
    let picture = options.folder.join("served.svg");
    plot::draw(&picture, &plan, &history, options.scale.length)?;
    Ok(Outcome {
        broken: broken(&history),
        plan,
        history,
    })
}

/// Plays one fault, and notes when something unplanned was wrong.
async fn play(shared: Arc<Shared>, event: Event) -> Result<(), std::io::Error> {
    sleep_until(shared.started + event.at).await;
    let from = shared.started.elapsed();
    let is_planned = strike(&shared, event).await?;
    let to = shared.started.elapsed();
    let mut notes = shared.notes.lock().await;
    if !is_planned {
        notes.disruptions.push(Disruption { from, to });
    }
    if !is_planned {
        notes.calm_from = notes.calm_from.max(to);
    }
    Ok(())
}

/// A worker asks for something for a while; that is no trouble.
async fn play_wish(shared: Arc<Shared>, event: WishEvent) -> Result<(), std::io::Error> {
    sleep_until(shared.started + event.at).await;
    let worker = shared.stage.lock().await.worker(event.worker);
    match event.wish {
        WorkerWish::Limit(per_s) => {
            worker.ask_for(Some(Wish::Limit(per_s)));
            sleep(event.lasts).await;
            worker.ask_for(None);
        }
        WorkerWish::Leaving => {
            worker.ask_for(Some(Wish::Leaving));
            sleep(event.lasts).await;
            let mut stage = shared.stage.lock().await;
            // Another fault may have replaced it.
            if stage.worker(event.worker).id == worker.id {
                stage.replace_worker(event.worker).await?;
            }
        }
        WorkerWish::Rest(rest) => {
            worker.behave(Behaviour::Full);
            worker.ask_for(Some(Wish::Rest(rest)));
            sleep(event.lasts).await;
            worker.ask_for(None);
            let stage = shared.stage.lock().await;
            if stage.worker(event.worker).id == worker.id {
                stage.behave_well(event.worker);
            }
        }
    }
    Ok(())
}

/// Strikes and heals; true when it was planned work.
async fn strike(shared: &Shared, event: Event) -> Result<bool, std::io::Error> {
    let lasts = event.lasts;
    match event.fault {
        Fault::Kill(at) => kill(shared, &[at]).await?,
        Fault::KillAll => {
            let count = shared.stage.lock().await.daemons.len();
            let all: Vec<usize> = (0..count).collect();
            kill(shared, &all).await?;
        }
        Fault::Pause(at) => {
            shared.stage.lock().await.daemons[at].signal(Signal::STOP);
            sleep(lasts).await;
            shared.stage.lock().await.daemons[at].signal(Signal::CONT);
        }
        Fault::Stop(at) => {
            stop(shared, at).await?;
            return Ok(true);
        }
        Fault::Reload(at) => {
            shared.stage.lock().await.daemons[at].signal(Signal::HUP);
            return Ok(true);
        }
        Fault::StoreSilent => store(shared, StoreFault::Silent, lasts).await,
        Fault::StoreBusy => store(shared, StoreFault::Busy, lasts).await,
        Fault::StoreSlow => store(shared, StoreFault::Slow(SLOW_STORE), lasts).await,
        Fault::StoreForgets => shared.stage.lock().await.store.forget(),
        Fault::Link(link, mode) => {
            shared.stage.lock().await.set_link(link, mode);
            sleep(lasts).await;
            let passes = LinkMode::Passes;
            shared.stage.lock().await.set_link(link, passes);
        }
        Fault::ReplaceWorker(at) => {
            replace_worker(shared, at).await?;
            return Ok(true);
        }
        Fault::WorkerFails(at) => worker(shared, at, Behaviour::Fails, lasts).await,
        Fault::WorkerFull(at) => worker(shared, at, Behaviour::Full, lasts).await,
        Fault::WorkerBreaksOff(at) => worker(shared, at, Behaviour::BreaksOff(3), lasts).await,
        Fault::ChangeConfig => {
            shared.stage.lock().await.change_config();
            return Ok(true);
        }
        Fault::RemoveKey => {
            remove_key(shared).await;
            return Ok(true);
        }
    }
    Ok(false)
}

async fn kill(shared: &Shared, daemons: &[usize]) -> Result<(), std::io::Error> {
    let mut stage = shared.stage.lock().await;
    for at in daemons {
        stage.daemons[*at].signal(Signal::KILL);
    }
    for at in daemons {
        stage.daemons[*at].ended().await?;
        stage.daemons[*at].restart()?;
    }
    Ok(())
}

/// Stops a daemon as planned, and starts it again when it has ended.
async fn stop(shared: &Shared, at: usize) -> Result<(), std::io::Error> {
    let from = shared.started.elapsed();
    shared.stage.lock().await.daemons[at].signal(Signal::TERM);
    // The stage is free meanwhile: other faults may come, a kill of this daemon, too.
    loop {
        sleep(Duration::from_millis(20)).await;
        let mut stage = shared.stage.lock().await;
        if stage.daemons[at].has_ended()? {
            stage.daemons[at].restart()?;
            break;
        }
        // Killed and started again by another fault: this stop is over.
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
    shared.notes.lock().await.stops.push(stop);
    Ok(())
}

async fn store(shared: &Shared, fault: StoreFault, lasts: Duration) {
    shared.stage.lock().await.store.fault(Some(fault));
    sleep(lasts).await;
    shared.stage.lock().await.store.fault(None);
}

async fn worker(shared: &Shared, at: usize, behaviour: Behaviour, lasts: Duration) {
    shared.stage.lock().await.behave(at, behaviour);
    sleep(lasts).await;
    shared.stage.lock().await.behave_well(at);
}

async fn replace_worker(shared: &Shared, at: usize) -> Result<(), std::io::Error> {
    let left = shared.stage.lock().await.replace_worker(at).await?;
    let leaving = Leaving {
        worker: left.id,
        at: shared.started.elapsed(),
    };
    shared.notes.lock().await.leavings.push(leaving);
    Ok(())
}

async fn remove_key(shared: &Shared) {
    let removed = shared.stage.lock().await.remove_key();
    let at = shared.started.elapsed();
    if let Some(key) = removed {
        let key = key.to_owned();
        let removal = Removal { key, at };
        shared.notes.lock().await.removals.push(removal);
    }
}
