//! One run with rollouts of software versions: clients read resumable streams while workers are replaced
//! and daemons are killed, stopped, frozen and cut off.

use crate::copy_environment::SEED_DAEMONS;
use crate::cut_path::PathState;
use crate::options::SoakOptions;
use crate::rollout_environment::{RolloutEnvironment, RolloutWorker};
use crate::rollout_plan::{
    CutLinks, Disruption, DisruptionKind, Leaving, Rollout, RolloutPlan, RolloutRow,
};
use crate::run::SoakError;
use crate::stream_checks::{StreamCounts, StreamViolation, find_stream_violations};
use crate::stream_clients::StreamClients;
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The time that daemons have to become ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// The time for which workers serve after they were taken out.
const SERVES_ON: Duration = Duration::from_millis(9_000);
/// The time that a daemon has to end after a stop signal, more than its `--stop-s`.
const STOP_LIMIT: Duration = Duration::from_secs(9);
/// The time between two questions whether a process has ended.
const END_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RolloutOutcome {
    /// The plan of the run.
    pub plan: RolloutPlan,
    /// What is counted and not judged.
    pub counts: StreamCounts,
    /// The violated guarantees.
    pub violations: Vec<StreamViolation>,
}

impl RolloutOutcome {
    /// Returns the number of streams with parts of several versions.
    pub fn joined(&self) -> usize {
        let violations = self.violations.iter();
        violations.filter(|violation| violation.is_joined()).count()
    }

    /// Returns one line with the numbers of streams and violations.
    pub fn summary(&self) -> String {
        let joined = self.joined();
        format!(
            "seed {}: {} rollouts, {} disruptions; {}; {joined} joined, {} other violations",
            self.plan.seed,
            self.plan.rollouts.len(),
            self.plan.disruptions.len(),
            self.counts,
            self.violations.len() - joined,
        )
    }
}

#[derive(Clone)]
struct RolloutRun {
    environment: Arc<Mutex<RolloutEnvironment>>,
    started: Instant,
}

/// Performs one run; a row takes the place of the drawn plan.
///
/// # Errors
/// [`SoakError`] if the run can't be performed; violations are part of the outcome.
pub async fn run_rollouts(
    options: &SoakOptions,
    row: Option<RolloutRow>,
) -> Result<RolloutOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let size = options.size;
    let plan = match row {
        Some(row) => RolloutPlan::of_row(row, options.seed, size.daemons, SEED_DAEMONS),
        None => RolloutPlan::draw(options.seed, size.duration, size.daemons, SEED_DAEMONS),
    };
    let environment = RolloutEnvironment::start(options).await?;
    environment
        .wait_until_ready(Instant::now() + START_LIMIT)
        .await;
    let started = Instant::now();
    let clients = StreamClients::new(
        environment.client_addresses(),
        options.seed,
        started,
        started + size.duration,
    );
    let run = RolloutRun {
        environment: Arc::new(Mutex::new(environment)),
        started,
    };
    let mut events = JoinSet::new();
    for rollout in plan.rollouts.iter().copied() {
        events.spawn(run.clone().roll_out(rollout));
    }
    for disruption in plan.disruptions.iter().copied() {
        events.spawn(run.clone().disrupt(disruption));
    }
    clients.start(options.callers).join_all().await;
    for event in events.join_all().await {
        event?;
    }
    let streams = clients.take_streams();
    Ok(RolloutOutcome {
        plan,
        counts: StreamCounts::new(&streams),
        violations: find_stream_violations(&streams),
    })
}

impl RolloutRun {
    async fn roll_out(self, rollout: Rollout) -> Result<(), std::io::Error> {
        sleep_until(self.started + rollout.joins_at).await;
        let mut environment = self.environment.lock().await;
        let replaced = rollout.share.of(environment.serving());
        let new = environment.start_version(replaced).await?;
        let old = environment.take_oldest(replaced);
        if rollout.leaves_at == rollout.joins_at {
            leave(&environment, &old, rollout.leaving);
            environment.join(new);
        } else {
            environment.join(new);
            drop(environment);
            sleep_until(self.started + rollout.leaves_at).await;
            environment = self.environment.lock().await;
            leave(&environment, &old, rollout.leaving);
        }
        drop(environment);
        sleep(SERVES_ON).await;
        let environment = self.environment.lock().await;
        for worker in &old {
            environment.remove_record(worker);
            worker.end();
        }
        Ok(())
    }

    async fn disrupt(self, disruption: Disruption) -> Result<(), std::io::Error> {
        sleep_until(self.started + disruption.at).await;
        let lasts = disruption.lasts;
        match disruption.kind {
            DisruptionKind::AllKilled
            | DisruptionKind::HalfKilled(_)
            | DisruptionKind::OthersKilled(_) => self.kill(disruption).await,
            DisruptionKind::Stopped(daemon) => self.stop_and_start(daemon).await,
            DisruptionKind::Frozen(daemon) => {
                self.signal(daemon, Signal::STOP).await;
                sleep(lasts).await;
                self.signal(daemon, Signal::CONT).await;
                Ok(())
            }
            DisruptionKind::CutOff(daemon, links) => {
                self.cut_off(daemon, links, lasts).await;
                Ok(())
            }
        }
    }

    /// Kills daemons at once, and starts those again that weren't started meanwhile.
    async fn kill(&self, disruption: Disruption) -> Result<(), std::io::Error> {
        let mut environment = self.environment.lock().await;
        let killed = disruption.kind.killed(environment.daemons.len());
        for daemon in &killed {
            environment.daemons[*daemon].signal(Signal::KILL);
        }
        for daemon in &killed {
            environment.daemons[*daemon].wait_for_end().await?;
        }
        drop(environment);
        sleep(disruption.lasts).await;
        let mut environment = self.environment.lock().await;
        for daemon in killed {
            if environment.daemons[daemon].has_ended()? {
                environment.daemons[daemon].restart()?;
            }
        }
        Ok(())
    }

    /// Stops a daemon, and starts it again as soon as it has ended.
    async fn stop_and_start(&self, daemon: usize) -> Result<(), std::io::Error> {
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

    async fn signal(&self, daemon: usize, signal: Signal) {
        self.environment.lock().await.daemons[daemon].signal(signal);
    }

    /// Cuts a daemon off for some time. Where cuts of one daemon overlap, the first one to end opens the
    /// paths.
    async fn cut_off(&self, daemon: usize, links: CutLinks, lasts: Duration) {
        let set = async |state| {
            let environment = self.environment.lock().await;
            environment.set_paths(daemon, links, state);
        };
        set(PathState::Silent).await;
        sleep(lasts).await;
        set(PathState::Open).await;
    }
}

/// Takes workers out; they serve on.
fn leave(environment: &RolloutEnvironment, workers: &[RolloutWorker], leaving: Leaving) {
    for worker in workers {
        match leaving {
            Leaving::Unannounced => environment.remove_record(worker),
            Leaving::Draining => environment.write_record(worker, "draining"),
        }
    }
}
