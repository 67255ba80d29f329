//! `bridgevane report`: service-level burn, on the terminal or as one HTML page.

use crate::commands::operator_client::{ClientError, OperatorClient, run_to_exit_code};
use crate::commands::{ask, exit, report_page, say};
use crate::modules::serve::operators::interface::Ask;
use crate::modules::serve::operators::queries::Answer;
use crate::modules::serve::operators::row::without_histograms;
use argh::FromArgs;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Report service levels: attainment by class over windows, error budget and burn rate,
/// goodput and wasted work, over all VMs of the data centre. The token comes from
/// BRIDGEVANE_OPERATOR_TOKEN.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArguments {
    /// the daemon's address for operators
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    at: SocketAddr,
    /// the operator's token; better given by the variable
    #[argh(option)]
    token: Option<String>,
    /// write one self-contained HTML page to this file
    #[argh(option)]
    html: Option<PathBuf>,
    /// print JSON, also on a terminal
    #[argh(switch)]
    json: bool,
}

/// Runs the command; gives the exit code.
pub fn run(arguments: &ReportArguments) -> u8 {
    run_to_exit_code(report(arguments))
}

async fn report(arguments: &ReportArguments) -> Result<u8, ClientError> {
    let client = OperatorClient::new(arguments.at, arguments.token.clone())?;
    let ask = Ask {
        statement: Some("show burn".into()),
        document: None,
        base_version: None,
        operation_id: None,
    };
    let answer = client.ask(&ask).await?;
    let parsed: Result<Answer, _> = serde_json::from_value(answer.body.clone());
    let Ok(rows) = parsed else {
        eprintln!("{}", answer.body);
        return Ok(exit::USAGE);
    };
    if let Some(file) = &arguments.html {
        if let Err(error) = std::fs::write(file, report_page::page(&rows)) {
            eprintln!("{}: {error}", file.display());
            return Ok(exit::USAGE);
        }
        say!("{}", file.display());
        return Ok(exit::OK);
    }
    if arguments.json || !std::io::stdout().is_terminal() {
        say!("{}", answer.body);
    } else {
        say!("{}", ask::table(&without_histograms(&rows.rows)));
    }
    if !rows.missing.is_empty() {
        let names: Vec<&str> = rows.missing.iter().map(|vm| vm.as_str()).collect();
        eprintln!("a part only: no answer from {}", names.join(", "));
    }
    Ok(exit::OK)
}
