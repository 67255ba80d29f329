//! `bridgevane serve`: runs the daemon.

use crate::commands::{block_on, exit, print_line};
use crate::configs::serve::ServeConfig;
use crate::configs::settings_reader::setting_source;
use crate::modules::process::http_serve::{self, Servers};
use crate::modules::process::log_writer::{self, LogStream};
use crate::modules::process::logging;
use crate::modules::process::signals;
use crate::modules::serve::configuration::watch;
use crate::modules::serve::context::Context;
use crate::modules::serve::leaving::LeavingSource;
use crate::modules::serve::operators::interface;
use crate::modules::serve::peers::connections;
use crate::modules::serve::peers::membership;
use crate::modules::serve::pools::homes;
use crate::modules::serve::requests::routes;
use crate::modules::serve::rollouts::runner;
use argh::FromArgs;
use bridgevane_client_limits::{ClientConnections, ClientMemory};
use bridgevane_events::{Event, event};
use bridgevane_types::{Bytes, Incarnation};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The maximum number of operators' connections: each operator uses one or two.
const MAX_OPERATOR_CONNECTIONS: usize = 32;
/// The memory for operators' connections; their requests are counted by their number alone.
const OPERATOR_MEMORY: Bytes = Bytes(8 << 20);

/// Run the daemon. Each flag has an environment variable, such as BRIDGEVANE_VM_ID for --vm-id;
/// flags take precedence. All settings are checked at the start, and all problems are printed.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArguments {
    /// name of this VM
    #[argh(option)]
    pub vm_id: Option<String>,
    /// data centre of this VM
    #[argh(option)]
    pub data_centre: Option<String>,
    /// address for callers, such as 0.0.0.0:8080
    #[argh(option)]
    pub caller_address: Option<String>,
    /// address for operators
    #[argh(option)]
    pub operator_address: Option<String>,
    /// address for other daemons
    #[argh(option)]
    pub peer_address: Option<String>,
    /// address of the platform's service
    #[argh(option)]
    pub platform_address: Option<String>,
    /// addresses of daemons to contact at the start, comma-separated
    #[argh(option)]
    pub peer_seeds: Option<String>,
    /// shared key of all daemons; prefer BRIDGEVANE_PEER_KEY
    #[argh(option)]
    pub peer_key: Option<String>,
    /// operators as name:token, comma-separated; prefer BRIDGEVANE_OPERATOR_TOKENS
    #[argh(option)]
    pub operator_tokens: Option<String>,
    /// memory available to the process in megabytes (default: 128)
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// maximum number of open descriptors (default: what the system grants the process)
    #[argh(option)]
    pub max_descriptors: Option<String>,
    /// log format: json (default) or text
    #[argh(option)]
    pub log_format: Option<String>,
    /// log level: error, warn, info (default) or debug
    #[argh(option)]
    pub log_level: Option<String>,
    /// print the settings, with secrets masked, and exit
    #[argh(switch)]
    pub print_settings: bool,
}

setting_source!(
    ServeArguments: vm_id,
    data_centre,
    caller_address,
    operator_address,
    peer_address,
    platform_address,
    peer_seeds,
    peer_key,
    operator_tokens,
    memory_mb,
    max_descriptors,
    log_format,
    log_level,
);

/// Runs the command and returns the exit code.
pub fn run(arguments: &ServeArguments) -> u8 {
    let config = match ServeConfig::read(arguments) {
        Ok(config) => config,
        Err(problems) => {
            eprintln!("{problems}");
            return exit::USAGE;
        }
    };
    if arguments.print_settings {
        print_line!("{config:#?}");
        return exit::OK;
    }
    let writer = log_writer::start(LogStream::Error);
    if let Err(error) = logging::set_up(config.log, None, writer.sink()) {
        eprintln!("{error}");
        return exit::USAGE;
    }
    let milliseconds = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = Incarnation(milliseconds.map_or(0, |elapsed| elapsed.as_millis() as u64));
    let code = match block_on(serve(config, incarnation)) {
        Ok(Ok(())) => exit::OK,
        Ok(Err(error)) | Err(error) => {
            event!(Event::CannotListen, cause = error);
            exit::USAGE
        }
    };
    writer.finish();
    code
}

/// Serves until the stop signal, then until every stream has ended or the drain time is over.
async fn serve(config: ServeConfig, incarnation: Incarnation) -> Result<(), std::io::Error> {
    let Started { context, servers } = start(config, incarnation).await?;
    signals::wait_for_stop().await?;
    context.leaving.add_reason(LeavingSource::StopSignal);
    membership::set_leaving(&context, true);
    event!(Event::Stopping, in_progress = context.leaving.in_progress());
    let drain = context.config.serving.drain_ms.as_std();
    let drained = async {
        context.leaving.wait_until_idle().await;
        servers.close().await;
    };
    // After the maximum drain time the process ends; the platform would have ended it earlier.
    let _ = tokio::time::timeout(drain, drained).await;
    event!(Event::Stopped, in_progress = context.leaving.in_progress());
    Ok(())
}

/// A running daemon.
pub struct Started {
    /// The daemon's state.
    pub context: Arc<Context>,
    /// The servers for callers and operators, which end when they are dropped.
    pub servers: Servers,
}

/// Starts all parts of the daemon.
///
/// # Errors
/// The operating system's error if an address can't be listened on.
pub async fn start(
    mut config: ServeConfig,
    incarnation: Incarnation,
) -> Result<Started, std::io::Error> {
    let callers = http_serve::listen(config.caller_address).await?;
    // With port 0 the system chooses a free port, which is written back to the settings.
    config.caller_address = callers.local_addr()?;
    let operators = http_serve::listen(config.operator_address).await?;
    config.operator_address = operators.local_addr()?;
    let peers = http_serve::listen(config.peers.address).await?;
    config.peers.address = peers.local_addr()?;
    let (context, dials) = Context::new(config, incarnation);
    tokio::spawn(connections::open_requested(context.clone(), dials));
    tokio::spawn(connections::accept(context.clone(), peers));
    tokio::spawn(membership::run(context.clone()));
    tokio::spawn(homes::run(context.clone()));
    tokio::spawn(runner::run(context.clone()));
    tokio::spawn(watch::run(context.clone()));
    let mut servers = Servers::default();
    let operator_memory = ClientMemory::new(OPERATOR_MEMORY);
    let operator_connections = ClientConnections::new(operator_memory, MAX_OPERATOR_CONNECTIONS);
    let caller_connections = context.caller_connections.clone();
    servers.serve(
        operators,
        interface::router(context.clone()),
        operator_connections,
    );
    servers.serve(callers, routes::router(context.clone()), caller_connections);
    event!(
        Event::Started,
        vm = context.config.vm,
        data_centre = context.config.data_centre,
        callers = context.config.caller_address,
        operators = context.config.operator_address,
        peers = context.config.peers.address,
    );
    Ok(Started { context, servers })
}
