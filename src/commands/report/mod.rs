//! `bridgevane report`: reports on the service levels of `serve` and on the gateways' logs.

mod burn;
mod burn_page;
mod log_files;
mod logs;
mod reach;
mod request;
mod tree;

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Report service levels: attainment by class over windows, error budget and burn rate,
/// goodput and wasted work, over all VMs of the data centre. The token is read from
/// BRIDGEVANE_OPERATOR_TOKEN. `report logs`, `report reach`, `report request` and `report tree` read
/// gateways' logs instead.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArguments {
    /// the daemon's address for operators
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    at: SocketAddr,
    /// the operator's token; prefer the environment variable
    #[argh(option)]
    token: Option<String>,
    /// write one self-contained HTML page to this file
    #[argh(option)]
    html: Option<PathBuf>,
    /// print JSON even on a terminal
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    of_logs: Option<LogReport>,
}

/// Reports on log files.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LogReport {
    Logs(logs::LogsArguments),
    Reach(reach::ReachArguments),
    Request(request::RequestArguments),
    Tree(tree::TreeArguments),
}

/// Runs the command and returns the exit code.
pub fn run(arguments: &ReportArguments) -> u8 {
    match &arguments.of_logs {
        None => burn::run(arguments),
        Some(LogReport::Logs(arguments)) => logs::run(arguments),
        Some(LogReport::Reach(arguments)) => reach::run(arguments),
        Some(LogReport::Request(arguments)) => request::run(arguments),
        Some(LogReport::Tree(arguments)) => tree::run(arguments),
    }
}
