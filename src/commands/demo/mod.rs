//! `bridgevane demo`: runs the daemon with embedded stand-ins under a seeded mixed load.

mod load;
mod results;
mod system;

use crate::commands::{block_on, exit, print_line};
use crate::configs::log::{LogConfig, LogFormat};
use crate::modules::process::logging;
use argh::FromArgs;
use derive_more::{Display, Error};
use indicatif::{ProgressBar, ProgressStyle};
use results::Results;
use std::io::IsTerminal;
use std::str::FromStr;
use std::time::Duration;
use system::DemoSystem;

/// Run the daemon on loopback with embedded stand-ins, send it a seeded mixed load of a user's
/// classes over the real HTTP path, and print the results by class. The exit code is 1 if a
/// promise was broken.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArguments {
    /// user whose classes are requested: ravaton or solcata (default)
    #[argh(option, default = "User::Solcata")]
    user: User,
    /// duration of the load in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// load as a fraction of the engines' capacity
    #[argh(option, default = "1.0")]
    load: f64,
    /// seed of arrivals, prompts and lengths
    #[argh(option, default = "1")]
    seed: u64,
    /// fault in the middle third of the time: none, slow-engine, crash-engine, kv-outage,
    /// late-reports or lost-cache-events
    #[argh(option, default = "FaultKind::None")]
    fault: FaultKind,
    /// print one JSON object instead of the table
    #[argh(switch)]
    json: bool,
    /// keep everything running after the load, for manual requests
    #[argh(switch)]
    hold: bool,
}

/// The user whose classes are requested.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum User {
    /// Ravaton Lessons.
    #[display("ravaton")]
    Ravaton,
    /// Solcata.
    #[display("solcata")]
    Solcata,
}

/// A fault for the middle third of the time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// No fault.
    #[display("none")]
    None,
    /// One engine is ten times slower.
    #[display("slow-engine")]
    SlowEngine,
    /// One engine loses its streams and refuses requests.
    #[display("crash-engine")]
    CrashEngine,
    /// The platform's service is unavailable.
    #[display("kv-outage")]
    KvOutage,
    /// Load reports are two seconds old.
    #[display("late-reports")]
    LateReports,
    /// Cache events are lost.
    #[display("lost-cache-events")]
    LostCacheEvents,
}

/// The error for an unknown value of a flag.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown value; --help lists the valid values")]
pub struct UnknownValue;

impl FromStr for User {
    type Err = UnknownValue;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Ravaton, Self::Solcata]
            .into_iter()
            .find(|user| user.to_string() == text)
            .ok_or(UnknownValue)
    }
}

impl FromStr for FaultKind {
    type Err = UnknownValue;

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
        found.ok_or(UnknownValue)
    }
}

/// Runs the command and returns the exit code.
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

async fn demo(arguments: &DemoArguments) -> Result<u8, system::DemoError> {
    let system = DemoSystem::start(arguments.user).await?;
    if !arguments.json {
        print_addresses(&system);
    }
    let bar = progress_bar(arguments);
    let fault = tokio::spawn(run_fault(
        system.faults(),
        arguments.fault,
        arguments.seconds,
    ));
    let results = load::run(&system, arguments, &bar).await;
    bar.finish_and_clear();
    // The fault ends long before the load.
    let _ = fault.await;
    let results = Results::collect(&system, arguments, results).await;
    if arguments.json {
        print_line!("{}", results.json());
    } else {
        print_line!("{}", results.table());
    }
    if arguments.hold {
        print_line!("still running; stop with ctrl-c");
        // If the signal can't be listened for, the demo ends at once.
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(if results.broken.is_empty() {
        exit::OK
    } else {
        exit::NEGATIVE
    })
}

fn print_addresses(system: &DemoSystem) {
    let callers = system.context.config.caller_address;
    let operators = system.context.config.operator_address;
    print_line!("callers   http://{callers}");
    print_line!(
        "operators http://{operators}  (token {})",
        system::OPERATOR_TOKEN
    );
    print_line!("platform  http://{}", system.platform_address());
    print_line!(
        "try: curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {}' \
         -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        system.any_key(),
        system.model,
    );
}

fn progress_bar(arguments: &DemoArguments) -> ProgressBar {
    if arguments.json || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}");
    ProgressBar::new(arguments.seconds).with_style(style.unwrap_or(ProgressStyle::default_bar()))
}

async fn run_fault(faults: system::Faults, kind: FaultKind, seconds: u64) {
    let third = Duration::from_millis(seconds * 1000 / 3);
    tokio::time::sleep(third).await;
    faults.begin(kind);
    tokio::time::sleep(third).await;
    faults.end();
}
