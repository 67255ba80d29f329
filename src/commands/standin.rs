//! `bridgevane standin`: runs one stand-in as a separate process, for tests.
//!
//! Stand-ins are behind the cargo feature `standins`, which production builds disable: a binary on
//! a VM must not be able to pose as the platform.

use crate::commands::{block_on, exit, print_line};
use crate::modules::serve::configuration::watch::CONFIG_KEY;
use argh::FromArgs;
use bridgevane_config::{Document, Envelope};
use bridgevane_standins::{
    EngineSpec, EngineStandin, EngineStandinSettings, PlainStandin, PlatformSettings,
    PlatformStandin, StandinError, serve,
};
use bridgevane_types::{ConfigVersion, Slots};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Run a stand-in for the platform, an engine or a plain service, for tests. It prints its
/// address as the first line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct StandinArguments {
    /// platform, engine or plain
    #[argh(positional)]
    role: String,
    /// address to listen on; port 0 chooses a free port
    #[argh(option)]
    address: SocketAddr,
    /// platform: configuration file stored from the start
    #[argh(option)]
    config: Option<PathBuf>,
    /// engine: number of sequences that run at the same time
    #[argh(option, default = "16")]
    slots: u32,
    /// engine: duration of a step without sequences, in milliseconds
    #[argh(option, default = "20.0")]
    step_ms: f64,
    /// engine: milliseconds that each running sequence adds to a step
    #[argh(option, default = "0.8")]
    sequence_ms: f64,
    /// engine: prompt tokens processed per millisecond
    #[argh(option, default = "8.0")]
    prefill_per_ms: f64,
    /// engine: refuse orders with an old fencing token
    #[argh(switch)]
    checks_fence: bool,
    /// engine: end the process when a prompt with this text is about to run
    #[argh(option)]
    ends_on: Option<String>,
    /// plain: recognise a repeated idempotency key
    #[argh(switch)]
    deduplicates: bool,
}

/// Runs the command and returns the exit code.
pub fn run(arguments: StandinArguments) -> u8 {
    match block_on(serve_role(arguments)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            exit::USAGE
        }
    }
}

async fn serve_role(arguments: StandinArguments) -> u8 {
    let router = match arguments.role.as_str() {
        "platform" => match platform(&arguments) {
            Some(platform) => platform.router(),
            None => return exit::USAGE,
        },
        "engine" => EngineStandin::new(engine_settings(&arguments)).router(),
        "plain" => PlainStandin::new(arguments.deduplicates).router(),
        other => {
            eprintln!("unknown role '{other}'; give platform, engine or plain");
            return exit::USAGE;
        }
    };
    match serve_until_killed(arguments.address, router).await {
        Ok(()) => exit::OK,
        Err(error) => {
            eprintln!("{error}");
            exit::USAGE
        }
    }
}

async fn serve_until_killed(address: SocketAddr, router: axum::Router) -> Result<(), StandinError> {
    let served = serve(address, router).await?;
    print_line!("{}", served.address);
    std::future::pending::<()>().await;
    drop(served);
    Ok(())
}

fn engine_settings(arguments: &StandinArguments) -> EngineStandinSettings {
    EngineStandinSettings {
        spec: EngineSpec {
            slots: Slots(arguments.slots),
            step_base_us: arguments.step_ms * 1000.0,
            step_per_sequence_us: arguments.sequence_ms * 1000.0,
            prefill_tokens_per_ms: arguments.prefill_per_ms,
            ..EngineSpec::default()
        },
        checks_fence: arguments.checks_fence,
        ends_on: arguments.ends_on.clone(),
    }
}

fn platform(arguments: &StandinArguments) -> Option<PlatformStandin> {
    let platform = PlatformStandin::new(PlatformSettings::default());
    let Some(file) = &arguments.config else {
        return Some(platform);
    };
    let text = std::fs::read_to_string(file)
        .map_err(|error| eprintln!("{}: {error}", file.display()))
        // The error is printed; the command ends with exit code 2.
        .ok()?;
    let document = Document::parse(&text)
        .map_err(|problems| eprintln!("{problems}"))
        // The error is printed; the command ends with exit code 2.
        .ok()?;
    let envelope = Envelope {
        version: ConfigVersion(1),
        operation: Vec::new(),
        document,
    };
    let stored = envelope
        .to_text()
        .map_err(|error| eprintln!("{error}"))
        // The error is printed; the command ends with exit code 2.
        .ok()?;
    platform.put(CONFIG_KEY, &stored);
    Some(platform)
}
