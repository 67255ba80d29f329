//! `bridgevane soak`: runs gateways as real processes under faults drawn from seeds.

use crate::commands::{block_on, exit, print_line};
use argh::FromArgs;
use bridgevane_soak::daemon_group::DaemonGroup;
use bridgevane_soak::plan::RunSize;
use bridgevane_soak::replacement_plan::FixedRounds;
use bridgevane_soak::rollout_plan::RolloutRow;
use bridgevane_soak::{SoakError, SoakOptions, SoakOutcome};
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The maximum number of processes of a run: a soak must stay within a few dozen processes and half
/// of a machine's memory.
const MAX_PROCESSES: usize = 24;
/// The same for runs with returns from copies, which play a whole fleet.
const MAX_FLEET_PROCESSES: usize = 64;

/// Run gateways as processes with the emulated platform, inject faults from outside, and check the
/// promises against what callers and endpoints saw. The exit code is 1 if a promise was broken.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakArguments {
    /// the first seed (default: 1)
    #[argh(option, default = "1")]
    pub first_seed: u64,
    /// number of seeds, run one after the other (default: 1)
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// seconds of calls per seed (default: 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// number of gateways (default: 4, at most 24; with --store-copies, --replacements, --rollouts, --departures or
    /// --crowds 6 and 64)
    #[argh(option)]
    pub processes: Option<usize>,
    /// number of callers (default: 12; with --rollouts 30)
    #[argh(option)]
    pub callers: Option<usize>,
    /// cut daemons off from workers in place of the other faults
    #[argh(switch)]
    pub cut_off: bool,
    /// let the store come back from copies in place of the other faults, and check the duties
    #[argh(switch)]
    pub store_copies: bool,
    /// replace daemons while the store comes back from copies, and check routes and keys
    #[argh(switch)]
    pub replacements: bool,
    /// with --replacements: none, one, half, seeds, all-but-two or all daemons in each round (default:
    /// drawn)
    #[argh(option)]
    pub replaced: Option<DaemonGroup>,
    /// with --replacements: milliseconds from a return until the operator writes again (default: drawn)
    #[argh(option)]
    pub rewrite_ms: Option<u64>,
    /// with --replacements: the seeds' paths to the store are silent around each return
    #[argh(switch)]
    pub silent_seeds: bool,
    /// with --replacements: daemons are also stopped, frozen and cut off from the store, in series that
    /// overlap
    #[argh(switch)]
    pub interruptions: bool,
    /// with --replacements: the store never comes back from a copy
    #[argh(switch)]
    pub no_returns: bool,
    /// replace workers by such of other software versions, and check the streams that clients take up
    #[argh(switch)]
    pub rollouts: bool,
    /// let workers leave while the store refuses daemons, and check which requests reach them
    #[argh(switch)]
    pub departures: bool,
    /// let crowds of clients that send too much or stop short meet gateways with little memory
    #[argh(switch)]
    pub crowds: bool,
    /// with --rollouts: calm, killed-after-leaving, killed-while-replaced, one-version-killed,
    /// out-of-step-cut or out-of-step-frozen (default: drawn)
    #[argh(option)]
    pub row: Option<RolloutRow>,
    /// daemons keep serving while the store is unavailable (--strict-key-removal false)
    #[argh(switch)]
    pub serve_stale: bool,
    /// program under test (default: this one)
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// folder for logs and plots, with one folder per seed (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    pub folder: PathBuf,
}

/// Runs the command and returns the exit code.
pub fn run(arguments: &SoakArguments) -> u8 {
    let most = if plays_fleet(arguments) {
        MAX_FLEET_PROCESSES
    } else {
        MAX_PROCESSES
    };
    if !(1..=most).contains(&processes(arguments)) {
        eprintln!("--processes: give 1 to {most}");
        return exit::USAGE;
    }
    let kinds = [
        arguments.cut_off,
        arguments.store_copies,
        arguments.replacements,
        arguments.rollouts,
        arguments.departures,
        arguments.crowds,
    ];
    if kinds.into_iter().filter(|is_given| *is_given).count() > 1 {
        eprintln!(
            "give one of --cut-off, --store-copies, --replacements, --rollouts, --departures and --crowds"
        );
        return exit::USAGE;
    }
    let failed = block_on(soak_until_stopped(arguments)).map_err(SoakError::from);
    match failed.and_then(|failed| failed) {
        Ok(Some(0)) => exit::OK,
        Ok(_) => exit::NEGATIVE,
        Err(error) => {
            eprintln!("{error}");
            exit::UNREACHABLE
        }
    }
}

/// Returns whether a run plays a whole fleet.
fn plays_fleet(arguments: &SoakArguments) -> bool {
    let kinds = [
        arguments.store_copies,
        arguments.replacements,
        arguments.rollouts,
        arguments.departures,
        arguments.crowds,
    ];
    kinds.contains(&true)
}

fn processes(arguments: &SoakArguments) -> usize {
    let default = if plays_fleet(arguments) { 6 } else { 4 };
    arguments.processes.unwrap_or(default)
}

fn callers(arguments: &SoakArguments) -> usize {
    let default = if arguments.rollouts { 30 } else { 12 };
    arguments.callers.unwrap_or(default)
}

/// Returns the number of workers that serve at a time.
fn workers(arguments: &SoakArguments) -> usize {
    match arguments {
        SoakArguments { rollouts: true, .. } => 8,
        // Half of them belong to the service whose workers leave.
        SoakArguments {
            departures: true, ..
        } => 12,
        _ => 6,
    }
}

/// Runs all seeds and returns the number with a broken promise, or `None` if a signal stopped the
/// run. Processes end with the run.
async fn soak_until_stopped(arguments: &SoakArguments) -> Result<Option<u64>, SoakError> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    tokio::select! {
        failed = soak(arguments) => failed.map(Some),
        _ = stop.recv() => Ok(None),
        _ = hang_up.recv() => Ok(None),
        _ = tokio::signal::ctrl_c() => Ok(None),
    }
}

/// Runs all seeds and returns the number with a broken promise.
async fn soak(arguments: &SoakArguments) -> Result<u64, SoakError> {
    let mut failed = 0;
    for seed in arguments.first_seed..arguments.first_seed + arguments.seeds {
        let options = SoakOptions {
            program: program_under_test(arguments)?,
            folder: arguments.folder.join(seed.to_string()),
            seed,
            size: RunSize {
                daemons: processes(arguments),
                workers: workers(arguments),
                duration: Duration::from_secs(arguments.seconds),
            },
            callers: callers(arguments),
            serves_stale: arguments.serve_stale,
        };
        if arguments.cut_off {
            failed += u64::from(!is_kept_under_cuts(&options).await?);
            continue;
        }
        if arguments.store_copies {
            failed += u64::from(!is_kept_after_copies(&options).await?);
            continue;
        }
        if arguments.replacements {
            failed += u64::from(!is_kept_under_replacements(arguments, &options).await?);
            continue;
        }
        if arguments.rollouts {
            failed += u64::from(!is_kept_under_rollouts(arguments.row, &options).await?);
            continue;
        }
        if arguments.crowds {
            failed += u64::from(!is_kept_beside_crowds(&options).await?);
            continue;
        }
        if arguments.departures {
            failed += u64::from(!is_kept_at_departures(&options).await?);
            continue;
        }
        let outcome = bridgevane_soak::run(&options).await?;
        print_line!("{}", outcome.summary());
        if !outcome.violations.is_empty() {
            failed += 1;
            print_failure(&outcome);
            print_line!("logs and plot: {}", options.folder.display());
        }
    }
    let seeds = arguments.seeds;
    print_line!("{seeds} seeds, {failed} with a broken promise");
    Ok(failed)
}

fn program_under_test(arguments: &SoakArguments) -> Result<PathBuf, std::io::Error> {
    match &arguments.program {
        Some(program) => Ok(program.clone()),
        None => std::env::current_exe(),
    }
}

/// Runs one seed with daemons cut off from workers; returns whether all promises were kept.
async fn is_kept_under_cuts(options: &SoakOptions) -> Result<bool, SoakError> {
    let outcome = bridgevane_soak::run_cut_off(options).await?;
    print_line!("{}", outcome.summary());
    let is_kept = outcome.violations.is_empty();
    if !is_kept {
        for cut in &outcome.plan.cuts {
            print_line!("  {cut}");
        }
        for event in &outcome.plan.strikes {
            print_line!("  {event}");
        }
        for violation in &outcome.violations {
            print_line!("  BROKEN {violation}");
        }
        print_line!("logs: {}", options.folder.display());
    }
    Ok(is_kept)
}

/// Runs one seed in which the store comes back from copies; returns whether all promises were kept.
async fn is_kept_after_copies(options: &SoakOptions) -> Result<bool, SoakError> {
    let outcome = bridgevane_soak::run_store_copies(options).await?;
    print_line!("{}", outcome.summary());
    let is_kept = outcome.violations.is_empty();
    if !is_kept {
        for back in &outcome.plan.returns {
            print_line!("  {back}");
        }
        for event in &outcome.plan.troubles {
            print_line!("  {event}");
        }
        for violation in &outcome.violations {
            print_line!("  BROKEN {violation}");
        }
        print_line!("logs: {}", options.folder.display());
    }
    Ok(is_kept)
}

/// Runs one seed in which daemons are replaced around returns from copies; returns whether all answers
/// were right.
async fn is_kept_under_replacements(
    arguments: &SoakArguments,
    options: &SoakOptions,
) -> Result<bool, SoakError> {
    let fixed = FixedRounds {
        replaced: arguments.replaced,
        rewrite_after: arguments.rewrite_ms.map(Duration::from_millis),
        has_silent_seeds: arguments.silent_seeds,
        has_interruptions: arguments.interruptions,
        has_no_returns: arguments.no_returns,
    };
    let outcome = bridgevane_soak::run_replacements(options, fixed).await?;
    print_line!("{}", outcome.summary());
    let is_kept = outcome.wrong.is_empty();
    if !is_kept {
        for round in &outcome.plan.rounds {
            print_line!("  {round}");
        }
        for interruption in &outcome.plan.interruptions {
            print_line!("  {interruption}");
        }
        for wrong in &outcome.wrong {
            print_line!("  WRONG {wrong}");
        }
        print_line!("logs: {}", options.folder.display());
    }
    Ok(is_kept)
}

/// Runs one seed in which workers are replaced by such of other software versions; returns whether all
/// streams were whole and of one version.
async fn is_kept_under_rollouts(
    row: Option<RolloutRow>,
    options: &SoakOptions,
) -> Result<bool, SoakError> {
    let outcome = bridgevane_soak::run_rollouts(options, row).await?;
    print_line!("{}", outcome.summary());
    let is_kept = outcome.violations.is_empty();
    if !is_kept {
        for rollout in &outcome.plan.rollouts {
            print_line!("  {rollout}");
        }
        for disruption in &outcome.plan.disruptions {
            print_line!("  {disruption}");
        }
        for violation in &outcome.violations {
            print_line!("  BROKEN {violation}");
        }
        print_line!("logs: {}", options.folder.display());
    }
    Ok(is_kept)
}

/// Runs one seed in which workers leave; returns whether no request reached one too late.
async fn is_kept_at_departures(options: &SoakOptions) -> Result<bool, SoakError> {
    let outcome = bridgevane_soak::run_departures(options).await?;
    print_line!("{}", outcome.summary());
    let is_kept = outcome.late.is_empty();
    if !is_kept {
        for refusal in &outcome.plan.refusals {
            print_line!("  {refusal:?}");
        }
        for (at, daemon, interruption) in &outcome.plan.interruptions {
            print_line!("  {} ms  daemon {daemon} {interruption}", at.as_millis());
        }
        for late in &outcome.late {
            print_line!("  LATE {late}");
        }
        print_line!("logs: {}", options.folder.display());
    }
    Ok(is_kept)
}

/// Runs one seed with crowds of clients; returns whether all daemons lived, stayed within their memory and
/// served.
async fn is_kept_beside_crowds(options: &SoakOptions) -> Result<bool, SoakError> {
    let outcome = bridgevane_soak::run_crowds(options).await?;
    print_line!("{}", outcome.summary());
    let is_kept = outcome.is_sound();
    if !is_kept {
        for crowd in &outcome.plan.crowds {
            print_line!("  {crowd}");
        }
        for (at, daemon, interruption) in &outcome.plan.interruptions {
            print_line!("  {} ms  daemon {daemon} {interruption}", at.as_millis());
        }
        print_line!("logs: {}", options.folder.display());
    }
    Ok(is_kept)
}

/// Prints the planned faults and the broken promises.
fn print_failure(outcome: &SoakOutcome) {
    for event in &outcome.plan.events {
        print_line!("  {event}");
    }
    for violation in &outcome.violations {
        print_line!("  BROKEN {violation}");
    }
}
