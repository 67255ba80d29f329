//! One run in which the store comes back from copies, while holders of the duties are killed, stopped,
//! paused and cut off from it.

use crate::callers::{self, CallPace, Calls};
use crate::copy_checks::{
    BegunRequest, CopyHistory, CopyViolation, Loss, MissCause, Span, find_copy_violations,
};
use crate::copy_environment::{CopyEnvironment, rewrite};
use crate::copy_plan::{CopyPlan, StoreReturn, Trouble, TroubleEvent};
use crate::cut_path::PathState;
use crate::options::SoakOptions;
use crate::processes::DaemonBounds;
use crate::run::SoakError;
use bridgevane_platform_emulator::{Absence, Fault, Worker};
use rustix::process::Signal;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The time that daemons have to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The time in which the first holder takes the duties before the calls begin.
const FIRST_TENURE: Duration = Duration::from_millis(1_500);
/// The deadline of a call.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// The pause between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..500;
/// Longer than a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_millis(7_000);
/// The delay of late writes.
const WRITE_DELAY: Duration = Duration::from_millis(1_500);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct CopyOutcome {
    /// The plan of the run.
    pub plan: CopyPlan,
    /// The record of the run.
    pub history: CopyHistory,
    /// The violated guarantees.
    pub violations: Vec<CopyViolation>,
}

impl CopyOutcome {
    /// Returns the violations that aren't missing windows.
    pub fn broken_rules(&self) -> Vec<&CopyViolation> {
        let violations = self.violations.iter();
        violations
            .filter(|violation| !violation.is_missed_window())
            .collect()
    }

    /// Returns the number of windows that weren't submitted in time for a reason.
    fn missed(&self, cause: MissCause) -> usize {
        let missed = self.history.missed_windows();
        missed.iter().filter(|(_, found)| *found == cause).count()
    }

    /// Returns one line with the numbers of calls, broken rules and missed windows.
    pub fn summary(&self) -> String {
        let history = &self.history;
        format!(
            "seed {}: {} requests began, {} duty calls, {} returns, {} troubles; {} rules broken; {} windows, \
             missed windows: {} undisturbed, {} in plain returns, {} with a lost daemon, {} with another \
             than the holder lost in a return; {} allowed with the holder lost in a return, {} without time",
            self.plan.seed,
            history.begun.len(),
            history.calls.len(),
            self.plan.returns.len(),
            self.plan.troubles.len(),
            self.broken_rules().len(),
            history.judged_windows().count(),
            self.missed(MissCause::Nothing),
            self.missed(MissCause::PlainReturn),
            self.missed(MissCause::Loss),
            self.missed(MissCause::OtherLossInReturn),
            self.missed(MissCause::HolderLossInReturn),
            self.missed(MissCause::NoTime),
        )
    }
}

/// What a return or a trouble adds to the record.
#[derive(Clone, Copy, Debug)]
enum Effect {
    Return(Span),
    Loss(Loss),
    LateWrites(Span),
    None,
}

/// A run's processes and times.
#[derive(Clone, Debug)]
struct CopyRun {
    environment: Arc<Mutex<CopyEnvironment>>,
    started: Instant,
    /// The wall time of the start, since 1970.
    started_wall: Duration,
}

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed; violations are part of the outcome.
pub async fn run_store_copies(options: &SoakOptions) -> Result<CopyOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let plan = CopyPlan::draw(options.seed, options.size.daemons, options.size.duration);
    let environment = CopyEnvironment::start(options, DaemonBounds::default()).await?;
    environment
        .wait_until_ready(Instant::now() + START_LIMIT)
        .await;
    sleep(FIRST_TENURE).await;
    let addresses = environment.client_addresses();
    let run = CopyRun {
        environment: Arc::new(Mutex::new(environment)),
        started: Instant::now(),
        started_wall: wall_now(),
    };
    let pace = CallPace {
        deadline: DEADLINE,
        pause_ms: PAUSE_MS,
    };
    let callers = callers::start(options, &addresses, run.started, &pace, &Calls::default());
    let mut events = JoinSet::new();
    for back in plan.returns.iter().copied() {
        events.spawn(run.clone().return_from_copy(back));
    }
    for event in plan.troubles.iter().copied() {
        events.spawn(run.clone().make_trouble(event));
    }
    callers.join_all().await;
    let calls_end = run.wall();
    let mut effects = Vec::new();
    for effect in events.join_all().await {
        effects.push(effect?);
    }
    let history = run.history(&effects, calls_end).await;
    let violations = find_copy_violations(&history);
    Ok(CopyOutcome {
        plan,
        history,
        violations,
    })
}

fn wall_now() -> Duration {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default()
}

impl CopyRun {
    /// Returns the wall time, free of jumps since the start.
    fn wall(&self) -> Duration {
        self.wall_at(Instant::now())
    }

    fn wall_at(&self, at: Instant) -> Duration {
        match at.checked_duration_since(self.started) {
            Some(since) => self.started_wall + since,
            None => self.started_wall - self.started.duration_since(at),
        }
    }

    async fn return_from_copy(self, back: StoreReturn) -> Result<Effect, std::io::Error> {
        let store = self.environment.lock().await.store.clone();
        sleep_until(self.started + back.copy_at).await;
        let copy = store.copy();
        sleep_until(self.started + back.away_from).await;
        let from = self.wall();
        store.go_away(if back.is_silent {
            Absence::Silent
        } else {
            Absence::Closed
        });
        sleep_until(self.started + back.back_at).await;
        store.come_back_from(&copy);
        let to = self.wall();
        rewrite(&store, &copy).await;
        Ok(Effect::Return(Span { from, to }))
    }

    async fn make_trouble(self, event: TroubleEvent) -> Result<Effect, std::io::Error> {
        sleep_until(self.started + event.at).await;
        let from = self.wall();
        let (target, is_holder) = match event.trouble.target() {
            Some(target) => {
                let environment = self.environment.lock().await;
                let target = environment.target(target);
                (target, environment.holder() == Some(target))
            }
            None => (0, false),
        };
        match event.trouble {
            Trouble::Kill(_) => self.kill(target, event.lasts).await?,
            Trouble::Stop(_) => self.stop(target, event.lasts).await?,
            Trouble::Pause(_) => {
                self.signal(target, Signal::STOP).await;
                sleep(event.lasts).await;
                self.signal(target, Signal::CONT).await;
            }
            Trouble::CutStore(_) => {
                self.set_store_path(target, PathState::Silent).await;
                sleep(event.lasts).await;
                self.set_store_path(target, PathState::Open).await;
            }
            Trouble::LateWrites => self.delay_writes(event.lasts).await,
            Trouble::UnansweredCalls => {
                let duties = self.environment.lock().await.duties.clone();
                duties.set_unanswered(true);
                sleep(event.lasts).await;
                duties.set_unanswered(false);
            }
            Trouble::EndLeases => self.environment.lock().await.store.end_all_leases(),
        }
        let span = Span {
            from,
            to: self.wall(),
        };
        Ok(match event.trouble {
            Trouble::LateWrites => Effect::LateWrites(span),
            trouble if trouble.target().is_some() => Effect::Loss(Loss { span, is_holder }),
            _ => Effect::None,
        })
    }

    async fn signal(&self, daemon: usize, signal: Signal) {
        self.environment.lock().await.daemons[daemon].signal(signal);
    }

    async fn set_store_path(&self, daemon: usize, state: PathState) {
        self.environment.lock().await.set_store_path(daemon, state);
    }

    async fn delay_writes(&self, lasts: Duration) {
        let store = self.environment.lock().await.store.clone();
        store.set_fault(Some(Fault::LateWrites(WRITE_DELAY)));
        sleep(lasts).await;
        store.set_fault(None);
    }

    async fn kill(&self, daemon: usize, restarts_after: Duration) -> Result<(), std::io::Error> {
        self.signal(daemon, Signal::KILL).await;
        self.restart_after_end(daemon, restarts_after).await
    }

    async fn stop(&self, daemon: usize, restarts_after: Duration) -> Result<(), std::io::Error> {
        self.signal(daemon, Signal::TERM).await;
        self.restart_after_end(daemon, restarts_after).await
    }

    /// Starts a daemon again some time after its end. Another trouble may have done so before.
    async fn restart_after_end(
        &self,
        daemon: usize,
        restarts_after: Duration,
    ) -> Result<(), std::io::Error> {
        let limit = Instant::now() + STOP_LIMIT;
        // The lock is free in between for other events.
        while !self.environment.lock().await.daemons[daemon].has_ended()? {
            if Instant::now() > limit {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        sleep(restarts_after).await;
        let mut environment = self.environment.lock().await;
        let daemon = &mut environment.daemons[daemon];
        if daemon.has_ended()? {
            daemon.restart()?;
        }
        Ok(())
    }

    async fn history(&self, effects: &[Effect], calls_end: Duration) -> CopyHistory {
        let environment = self.environment.lock().await;
        let mut history = CopyHistory {
            calls: environment.duties.calls(),
            begun: self.begun_requests(&environment.workers),
            calls_span: Some(Span {
                from: self.started_wall,
                to: calls_end,
            }),
            ..CopyHistory::default()
        };
        for effect in effects {
            match effect {
                Effect::Return(span) => history.returns.push(*span),
                Effect::Loss(loss) => history.losses.push(*loss),
                Effect::LateWrites(span) => history.late_writes.push(*span),
                Effect::None => {}
            }
        }
        history
    }

    /// Returns the first run of each request.
    fn begun_requests(&self, workers: &[Worker]) -> Vec<BegunRequest> {
        let mut first: HashMap<String, BegunRequest> = HashMap::new();
        for run in workers.iter().flat_map(Worker::executed_requests) {
            let begun = BegunRequest {
                customer: run.customer,
                at: self.wall_at(Instant::from_std(run.at)),
            };
            let known = first.entry(run.id).or_insert_with(|| begun.clone());
            if begun.at < known.at {
                *known = begun;
            }
        }
        first.into_values().collect()
    }
}
