//! One run in which the store comes back from copies while daemons are replaced and cut off, and the
//! operator writes again late. Each daemon is asked for routes and keys throughout.

use crate::confirmed_versions::{KEY_BOUND, ProbeKind};
use crate::copy_environment::{CopyEnvironment, SEED_DAEMONS};
use crate::cut_path::PathState;
use crate::operator::{Operator, probe_text};
use crate::options::SoakOptions;
use crate::replacement_plan::{FixedRounds, ReplacementPlan, ReplacementRound};
use crate::run::SoakError;
use bridgevane_platform_emulator::Absence;
use derive_more::Display;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

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
    let plan = ReplacementPlan::draw(options.seed, options.size.duration, fixed);
    let environment = CopyEnvironment::start(options, KEY_BOUND).await?;
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
    };
    let operator = tokio::spawn(run.operator.clone().run());
    let mut events = JoinSet::new();
    for round in plan.rounds.iter().copied() {
        events.spawn(run.clone().return_from_copy(round));
        events.spawn(run.clone().replace(round));
        events.spawn(run.clone().silence_seeds(round));
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

    /// Starts a task for each daemon that asks it until the end.
    async fn start_probes(&self) -> JoinSet<()> {
        let addresses = self.environment.lock().await.client_addresses();
        let addresses = addresses.into_iter().enumerate();
        let probes = addresses.map(|(daemon, address)| self.clone().probe(daemon, address));
        probes.collect()
    }

    async fn probe(self, daemon: usize, address: SocketAddr) {
        let mut asked = JoinSet::new();
        let mut count = daemon;
        while Instant::now() < self.until {
            count += 1;
            let kind = ProbeKind::EACH[count % ProbeKind::EACH.len()];
            let numbers = self.operator.askable(kind);
            if !numbers.is_empty() {
                let number = numbers[count / ProbeKind::EACH.len() % numbers.len()];
                let run = self.clone();
                asked.spawn(async move {
                    run.ask(daemon, address, kind, number, count).await;
                });
            }
            sleep(PROBE_INTERVAL).await;
        }
        asked.join_all().await;
    }

    async fn ask(
        self,
        daemon: usize,
        address: SocketAddr,
        kind: ProbeKind,
        number: u64,
        count: usize,
    ) {
        let sent_at = self.started.elapsed();
        let text = probe_text(kind, number, &format!("p{daemon}-{count}"), DEADLINE_MS);
        let Some(status) = status(address, &text).await else {
            return;
        };
        let is_wrong = kind.is_wrong(status);
        let mut outcome = self.outcome.lock().expect("no panic under this lock");
        let counts = outcome.counts.entry(kind).or_default();
        counts.answers += 1;
        counts.refusals += usize::from(status == 503);
        counts.wrong += usize::from(is_wrong);
        if is_wrong {
            outcome.wrong.push(WrongAnswer {
                sent_at,
                daemon,
                kind,
                number,
                status,
            });
        }
    }
}

/// Sends a request on a new connection; returns the status of the answer, `None` without one.
async fn status(address: SocketAddr, text: &str) -> Option<u16> {
    let asking = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<Vec<u8>, std::io::Error>(answer)
    };
    let answer = timeout(PROBE_TIMEOUT, asking).await.ok()?.ok()?;
    let head = std::str::from_utf8(answer.get(..12)?).ok()?;
    head.strip_prefix("HTTP/1.1 ")?.parse().ok()
}
