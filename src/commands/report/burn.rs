//! `bridgevane report`: service levels and the burn rate of their error budgets, on the terminal or
//! as one HTML page.

use crate::commands::operator_client::{ClientError, OperatorClient, run_to_exit_code};
use crate::commands::report::{ReportArguments, burn_page};
use crate::commands::{ask, exit, print_line};
use crate::modules::serve::operators::interface::OperatorRequest;
use crate::modules::serve::operators::queries::OperatorAnswer;
use crate::modules::serve::operators::row::without_histograms;
use std::io::IsTerminal;

/// Runs the command and returns the exit code.
pub(super) fn run(arguments: &ReportArguments) -> u8 {
    run_to_exit_code(report(arguments))
}

async fn report(arguments: &ReportArguments) -> Result<u8, ClientError> {
    let client = OperatorClient::new(arguments.at, arguments.token.clone())?;
    let request = OperatorRequest {
        statement: Some("show burn".into()),
        document: None,
        base_version: None,
        operation_id: None,
    };
    let answer = client.ask(&request).await?;
    let parsed: Result<OperatorAnswer, _> = serde_json::from_value(answer.body.clone());
    let Ok(report) = parsed else {
        eprintln!("{}", answer.body);
        return Ok(exit::USAGE);
    };
    if let Some(file) = &arguments.html {
        if let Err(error) = std::fs::write(file, burn_page::page(&report)) {
            eprintln!("{}: {error}", file.display());
            return Ok(exit::USAGE);
        }
        print_line!("{}", file.display());
        return Ok(exit::OK);
    }
    if arguments.json || !std::io::stdout().is_terminal() {
        print_line!("{}", answer.body);
    } else {
        print_line!("{}", ask::table(&without_histograms(&report.rows)));
    }
    if !report.missing.is_empty() {
        let names: Vec<&str> = report.missing.iter().map(|vm| vm.as_str()).collect();
        eprintln!("incomplete: no answer from {}", names.join(", "));
    }
    Ok(exit::OK)
}
