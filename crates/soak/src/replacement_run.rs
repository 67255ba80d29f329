//! One run in which the store comes back from copies while daemons are replaced and cut off, and the
//! operator writes again late. Each daemon is asked for routes and keys throughout.

use crate::confirmed_versions::{APPLY_BOUND, KEY_BOUND, ProbeKind, Touch};
use crate::connections::Connections;
use crate::copy_environment::{CopyEnvironment, SEED_DAEMONS};
use crate::cut_path::PathState;
use crate::interruption_plan::{Interruption, InterruptionKind};
use crate::operator::{self, Operator};
use crate::options::SoakOptions;
use crate::processes::DaemonBounds;
use crate::replacement_plan::{FixedRounds, ReplacementPlan, ReplacementRound};
use crate::run::SoakError;
use bridgevane_platform_emulator::Absence;
use derive_more::Display;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The bounds that answers are checked against.
const BOUNDS: DaemonBounds = DaemonBounds {
    key_removal: KEY_BOUND,
    config_apply: Some(APPLY_BOUND),
    drain: None,
    memory_mb: None,
};
/// The time that daemons have to become ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// The time between two probes of a daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// The deadline of a probe.
const DEADLINE_MS: u64 = 1_000;
/// The timeout of a probe, some time longer than its deadline.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time after a kill after which the daemon is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// The time that a daemon has to end after a stop signal, more than its `--stop-s`.
const STOP_LIMIT: Duration = Duration::from_secs(9);
/// The time between two questions whether a process has ended.
const END_INTERVAL: Duration = Duration::from_millis(50);
/// The time after an interruption after which a daemon counts as in touch again.
const CONTACT_PERIOD: Duration = Duration::from_millis(4_000);

/// A wrong answer to a probe.
#[derive(Clone, Copy, Debug, Display)]
#[display("{:>6} ms  daemon {daemon} answered {status} for a {kind}, number {number}", sent_at.as_millis())]
pub struct WrongAnswer {
    /// When the probe was sent, from the start of the run.
    pub sent_at: Duration,
    /// The daemon.
    pub daemon: usize,
    /// What was asked for.
    pub kind: ProbeKind,
    /// The number of the route or key.
    pub number: u64,
    /// The status of the answer.
    pub status: u16,
}

/// The numbers of answers to probes of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeCounts {
    /// All answers.
    pub answers: usize,
    /// Answers with 503.
    pub refusals: usize,
    /// Wrong answers.
    pub wrong: usize,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct ReplacementOutcome {
    /// The plan of the run.
    pub plan: ReplacementPlan,
    /// The numbers of answers.
    pub counts: BTreeMap<ProbeKind, ProbeCounts>,
    /// The wrong answers.
    pub wrong: Vec<WrongAnswer>,
    /// How long replaced daemons took from their start until they said that they were ready.
    pub ready_after: Vec<Duration>,
}

impl ReplacementOutcome {
    /// Returns one line with the numbers of probes and wrong answers.
    pub fn summary(&self) -> String {
        let counts = self.counts.iter().map(|(kind, counts)| {
            let ProbeCounts {
                answers,
                refusals,
                wrong,
            } = counts;
            format!("{kind}: {wrong} wrong, {refusals} refused of {answers}")
        });
        let counts: Vec<String> = counts.collect();
        let daemons: BTreeSet<usize> = self.wrong.iter().map(|wrong| wrong.daemon).collect();
        let mut ready: Vec<u128> = self.ready_after.iter().map(Duration::as_millis).collect();
        ready.sort_unstable();
        format!(
            "seed {}: {} returns; {}; {} daemons wrong; {} replaced, ready after {} ms (median), {} ms (longest)",
            self.plan.seed,
            self.plan.rounds.len(),
            counts.join("; "),
            daemons.len(),
            ready.len(),
            ready.get(ready.len() / 2).copied().unwrap_or_default(),
            ready.last().copied().unwrap_or_default(),
        )
    }
}

#[derive(Clone)]
struct ReplacementRun {
    environment: Arc<tokio::sync::Mutex<CopyEnvironment>>,
    operator: Operator,
    started: Instant,
    until: Instant,
    outcome: Arc<Mutex<ReplacementOutcome>>,
    /// Until when each daemon is out of touch, from the start of the run.
    out_of_touch_until: Arc<Mutex<BTreeMap<usize, Duration>>>,
}

/// Performs one run.
///
/// # Errors
/// [`SoakError`] if the run can't be performed; wrong answers are part of the outcome.
pub async fn run_replacements(
    options: &SoakOptions,
    fixed: FixedRounds,
) -> Result<ReplacementOutcome, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let size = options.size;
    let plan = ReplacementPlan::draw(options.seed, size.duration, size.daemons, fixed);
    let environment = CopyEnvironment::start(options, BOUNDS).await?;
    environment
        .wait_until_ready(Instant::now() + START_LIMIT)
        .await;
    let started = Instant::now();
    let run = ReplacementRun {
        operator: Operator::new(environment.store.clone(), started),
        started,
        until: started + options.size.duration,
        outcome: Arc::new(Mutex::new(ReplacementOutcome {
            plan: plan.clone(),
            ..ReplacementOutcome::default()
        })),
        environment: Arc::new(tokio::sync::Mutex::new(environment)),
        out_of_touch_until: Arc::default(),
    };
    let operator = tokio::spawn(run.operator.clone().run());
    let mut events = JoinSet::new();
    for round in plan.rounds.iter().copied() {
        events.spawn(run.clone().return_from_copy(round));
        events.spawn(run.clone().replace(round));
        events.spawn(run.clone().silence_seeds(round));
    }
    for interruption in plan.interruptions.iter().copied() {
        events.spawn(run.clone().interrupt(interruption));
    }
    let probes = run.start_probes().await;
    probes.join_all().await;
    for event in events.join_all().await {
        event?;
    }
    operator.abort();
    let outcome = run.outcome.lock().expect("no panic under this lock");
    Ok(outcome.clone())
}

impl ReplacementRun {
    async fn return_from_copy(self, round: ReplacementRound) -> Result<(), std::io::Error> {
        let store = self.environment.lock().await.store.clone();
        sleep_until(self.started + round.copy_at).await;
        let copy = store.copy();
        sleep_until(self.started + round.away_from).await;
        self.operator.on_store_away();
        store.go_away(Absence::Closed);
        sleep_until(self.started + round.back_at).await;
        store.come_back_from(&copy);
        sleep_until(self.started + round.rewrite_at).await;
        self.operator.write_again();
        Ok(())
    }

    async fn replace(self, round: ReplacementRound) -> Result<(), std::io::Error> {
        sleep_until(self.started + round.replaced_at).await;
        let mut environment = self.environment.lock().await;
        let replaced = round
            .replaced
            .daemons(environment.daemons.len(), SEED_DAEMONS);
        for daemon in &replaced {
            environment.daemons[*daemon].signal(Signal::KILL);
        }
        for daemon in &replaced {
            environment.daemons[*daemon].wait_for_end().await?;
        }
        sleep(RESTART_DELAY).await;
        let mut waits = JoinSet::new();
        for daemon in replaced {
            environment.daemons[daemon].restart()?;
            let address = environment.daemons[daemon].settings.ready;
            waits.spawn(crate::copy_environment::time_until_ready(
                address, self.until,
            ));
        }
        drop(environment);
        let ready_after = waits.join_all().await;
        let mut outcome = self.outcome.lock().expect("no panic under this lock");
        outcome.ready_after.extend(ready_after);
        Ok(())
    }

    async fn silence_seeds(self, round: ReplacementRound) -> Result<(), std::io::Error> {
        if !round.has_silent_seeds {
            return Ok(());
        }
        let (from, to) = round.silent_span();
        for (at, state) in [(from, PathState::Silent), (to, PathState::Open)] {
            sleep_until(self.started + at).await;
            let environment = self.environment.lock().await;
            for seed in 0..SEED_DAEMONS.min(environment.daemons.len()) {
                environment.set_store_path(seed, state);
            }
        }
        Ok(())
    }

    async fn interrupt(self, interruption: Interruption) -> Result<(), std::io::Error> {
        sleep_until(self.started + interruption.at).await;
        let count = self.environment.lock().await.daemons.len();
        let daemons = interruption.daemons(count, SEED_DAEMONS);
        self.set_out_of_touch(&daemons, interruption.lasts);
        match interruption.kind {
            InterruptionKind::Stopped => self.stop_and_start(&daemons).await?,
            InterruptionKind::Frozen => {
                self.signal(&daemons, Signal::STOP).await;
                sleep(interruption.lasts).await;
                self.signal(&daemons, Signal::CONT).await;
            }
            InterruptionKind::Silent => {
                self.fail_paths(&daemons, PathState::Silent, interruption.lasts)
                    .await;
            }
            InterruptionKind::Refused => {
                self.fail_paths(&daemons, PathState::Reset, interruption.lasts)
                    .await;
            }
        }
        Ok(())
    }

    /// Marks daemons as out of touch during an interruption, and for a while after it.
    fn set_out_of_touch(&self, daemons: &[usize], lasts: Duration) {
        let until = self.started.elapsed() + lasts + CONTACT_PERIOD;
        let mut out_of_touch = self.out_of_touch_until.lock().expect("no panic");
        for daemon in daemons {
            let known = out_of_touch.entry(*daemon).or_default();
            *known = until.max(*known);
        }
    }

    async fn signal(&self, daemons: &[usize], signal: Signal) {
        let environment = self.environment.lock().await;
        for daemon in daemons {
            environment.daemons[*daemon].signal(signal);
        }
    }

    /// Sets daemons' paths to the store to a state for some time. Where interruptions overlap, the first
    /// one to end opens the paths.
    async fn fail_paths(&self, daemons: &[usize], state: PathState, lasts: Duration) {
        self.set_paths(daemons, state).await;
        sleep(lasts).await;
        self.set_paths(daemons, PathState::Open).await;
    }

    async fn set_paths(&self, daemons: &[usize], state: PathState) {
        let environment = self.environment.lock().await;
        for daemon in daemons {
            environment.set_store_path(*daemon, state);
        }
    }

    /// Stops daemons, and starts each again as soon as it has ended, unless it was replaced meanwhile.
    async fn stop_and_start(&self, daemons: &[usize]) -> Result<(), std::io::Error> {
        self.signal(daemons, Signal::TERM).await;
        let until = Instant::now() + STOP_LIMIT;
        let mut running = daemons.to_vec();
        while !running.is_empty() && Instant::now() < until {
            sleep(END_INTERVAL).await;
            let mut environment = self.environment.lock().await;
            let mut ended = Vec::new();
            for daemon in &running {
                if environment.daemons[*daemon].has_ended()? {
                    environment.daemons[*daemon].restart()?;
                    ended.push(*daemon);
                }
            }
            running.retain(|daemon| !ended.contains(daemon));
            drop(environment);
            self.set_out_of_touch(&ended, Duration::ZERO);
        }
        Ok(())
    }

    fn touch(&self, daemon: usize) -> Touch {
        let out_of_touch = self.out_of_touch_until.lock().expect("no panic");
        match out_of_touch.get(&daemon) {
            Some(until) if self.started.elapsed() < *until => Touch::OutOfTouch,
            _ => Touch::InTouch,
        }
    }

    /// Starts a task for each daemon that asks it until the end.
    async fn start_probes(&self) -> JoinSet<()> {
        let addresses = self.environment.lock().await.client_addresses();
        let addresses = addresses.into_iter().enumerate();
        let probes = addresses.map(|(daemon, address)| self.clone().probe(daemon, address));
        probes.collect()
    }

    async fn probe(self, daemon: usize, address: SocketAddr) {
        let mut asked = JoinSet::new();
        let connections = Connections::new(address);
        let mut count = daemon;
        while Instant::now() < self.until {
            count += 1;
            let kind = ProbeKind::EACH[count % ProbeKind::EACH.len()];
            let numbers = self.operator.askable(kind, self.touch(daemon));
            if !numbers.is_empty() {
                let number = numbers[count / ProbeKind::EACH.len() % numbers.len()];
                let probe = Probe {
                    id: format!("p{daemon}-{count}"),
                    daemon,
                    kind,
                    number,
                };
                asked.spawn(self.clone().ask(probe, connections.clone()));
            }
            sleep(PROBE_INTERVAL).await;
        }
        asked.join_all().await;
    }

    async fn ask(self, probe: Probe, connections: Connections) {
        let sent_at = self.started.elapsed();
        let Probe { kind, number, .. } = probe;
        let asking = connections.ask(operator::probe(kind, number, &probe.id, DEADLINE_MS));
        let Ok(Some(status)) = timeout(PROBE_TIMEOUT, asking).await else {
            return;
        };
        let is_removed = kind.is_confirmed() && !self.operator.newest_has(kind, number);
        let mut outcome = self.outcome.lock().expect("no panic under this lock");
        // A frozen daemon may answer after a version has removed what the probe asked for.
        let is_excused = is_removed && !outcome.plan.interruptions.is_empty();
        let is_wrong = kind.is_wrong(status) && !is_excused;
        let counts = outcome.counts.entry(kind).or_default();
        counts.answers += 1;
        counts.refusals += usize::from(status == 503);
        counts.wrong += usize::from(is_wrong);
        if is_wrong {
            outcome.wrong.push(WrongAnswer {
                sent_at,
                daemon: probe.daemon,
                kind,
                number,
                status,
            });
        }
    }
}

/// A question to a daemon.
#[derive(Debug)]
struct Probe {
    id: String,
    daemon: usize,
    kind: ProbeKind,
    number: u64,
}
