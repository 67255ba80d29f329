//! `bridgevane demo`: the daemon before embedded stand-ins, under a seeded mixed load.

mod load;
mod results;
mod stage;

use crate::commands::{block_on, exit, say};
use crate::configs::log::{LogConfig, LogFormat};
use crate::modules::process::logging;
use argh::FromArgs;
use derive_more::{Display, Error};
use indicatif::{ProgressBar, ProgressStyle};
use results::Results;
use stage::Stage;
use std::io::IsTerminal;
use std::str::FromStr;
use std::time::Duration;

/// Run the daemon on loopback before embedded stand-ins, send it a seeded mixed load of a
/// user's classes through the real HTTP path and print what became of it by class. The exit
/// code is 1 if a promise was broken.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArguments {
    /// ravaton or solcata (default)
    #[argh(option, default = "User::Solcata")]
    user: User,
    /// seconds of load
    #[argh(option, default = "20")]
    seconds: u64,
    /// load as a part of the engines' capacity
    #[argh(option, default = "1.0")]
    load: f64,
    /// seed of arrivals and lengths
    #[argh(option, default = "1")]
    seed: u64,
    /// none, slow-engine, crash-engine, kv-outage, late-reports or lost-cache-events, from a
    /// third to two thirds of the time
    #[argh(option, default = "FaultKind::None")]
    fault: FaultKind,
    /// print one JSON object in place of the table
    #[argh(switch)]
    json: bool,
    /// keep everything up after the load, for use by hand
    #[argh(switch)]
    hold: bool,
}

/// Whose classes are asked for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum User {
    /// Ravaton Lessons.
    #[display("ravaton")]
    Ravaton,
    /// Solcata.
    #[display("solcata")]
    Solcata,
}

/// What goes wrong for a while.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// Nothing.
    #[display("none")]
    None,
    /// One engine is ten times slower.
    #[display("slow-engine")]
    SlowEngine,
    /// One engine loses its streams and refuses.
    #[display("crash-engine")]
    CrashEngine,
    /// The platform's service is away.
    #[display("kv-outage")]
    KvOutage,
    /// Load reports are two seconds old.
    #[display("late-reports")]
    LateReports,
    /// Cache events get lost.
    #[display("lost-cache-events")]
    LostCacheEvents,
}

/// The word names nothing that is known here.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not one of the words that --help lists")]
pub struct UnknownWord;

impl FromStr for User {
    type Err = UnknownWord;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Ravaton, Self::Solcata]
            .into_iter()
            .find(|user| user.to_string() == text)
            .ok_or(UnknownWord)
    }
}

impl FromStr for FaultKind {
    type Err = UnknownWord;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const ALL: [FaultKind; 6] = [
            FaultKind::None,
            FaultKind::SlowEngine,
            FaultKind::CrashEngine,
            FaultKind::KvOutage,
            FaultKind::LateReports,
            FaultKind::LostCacheEvents,
        ];
        let found = ALL.into_iter().find(|fault| fault.to_string() == text);
        found.ok_or(UnknownWord)
    }
}

/// Runs the command; gives the exit code.
pub fn run(arguments: &DemoArguments) -> u8 {
    let config = LogConfig {
        format: LogFormat::Text,
        level: log::LevelFilter::Error,
    };
    if let Err(error) = logging::set_up_on_stderr(config) {
        eprintln!("{error}");
    }
    match block_on(demo(arguments)) {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            eprintln!("{error}");
            exit::USAGE
        }
        Err(error) => {
            eprintln!("{error}");
            exit::USAGE
        }
    }
}

async fn demo(arguments: &DemoArguments) -> Result<u8, stage::StageError> {
    let stage = Stage::set(arguments.user).await?;
    if !arguments.json {
        announce(&stage);
    }
    let bar = progress(arguments);
    let fault = tokio::spawn(run_fault(
        stage.faults(),
        arguments.fault,
        arguments.seconds,
    ));
    let results = load::run(&stage, arguments, &bar).await;
    bar.finish_and_clear();
    // The fault ends long before the load does.
    let _ = fault.await;
    let results = Results::gather(&stage, arguments, results).await;
    if arguments.json {
        say!("{}", results.json());
    } else {
        say!("{}", results.table());
    }
    if arguments.hold {
        say!("held; stop with ctrl-c");
        // Without a signal handler there is nothing to wait for.
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(if results.broken.is_empty() {
        exit::OK
    } else {
        exit::NEGATIVE
    })
}

fn announce(stage: &Stage) {
    let callers = stage.context.config.caller_address;
    let operators = stage.context.config.operator_address;
    say!("callers   http://{callers}");
    say!(
        "operators http://{operators}  (token {})",
        stage::OPERATOR_TOKEN
    );
    say!("platform  http://{}", stage.platform_address());
    say!(
        "try: curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {}' \
         -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        stage.any_key(),
        stage.model,
    );
}

fn progress(arguments: &DemoArguments) -> ProgressBar {
    if arguments.json || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}");
    ProgressBar::new(arguments.seconds).with_style(style.unwrap_or(ProgressStyle::default_bar()))
}

async fn run_fault(faults: stage::Faults, kind: FaultKind, seconds: u64) {
    let third = Duration::from_millis(seconds * 1000 / 3);
    tokio::time::sleep(third).await;
    faults.begin(kind);
    tokio::time::sleep(third).await;
    faults.end();
}
