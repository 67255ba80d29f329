//! `bridgevane ask`: sends operators' statements to a daemon.

use crate::commands::operator_client::{
    ClientError, DaemonAnswer, OperatorClient, run_to_exit_code,
};
use crate::commands::{exit, print_line};
use crate::modules::serve::operators::interface::OperatorRequest;
use crate::modules::serve::operators::queries::OperatorAnswer;
use crate::modules::serve::operators::row::Row;
use argh::FromArgs;
use bridgevane_types::{ConfigVersion, OperationId};
use comfy_table::{Table, presets};
use serde_json::Value;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Query a daemon, or make a change. The statement is one argument, such as
/// "show requests where class = booking and age > 2s"; docs/LANGUAGE.md has the grammar.
/// The token is read from BRIDGEVANE_OPERATOR_TOKEN.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskArguments {
    /// the statement
    #[argh(positional)]
    statement: Option<String>,
    /// the daemon's address for operators
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    at: SocketAddr,
    /// the operator's token; prefer the environment variable
    #[argh(option)]
    token: Option<String>,
    /// propose this configuration file instead of a statement
    #[argh(option)]
    propose: Option<PathBuf>,
    /// the version on which the proposed file is based (default: the version in force)
    #[argh(option)]
    base: Option<u64>,
    /// print the configuration in force as TOML
    #[argh(switch)]
    print_config: bool,
    /// the operation's id; repeat it to retry the same change
    #[argh(option)]
    operation: Option<String>,
    /// print JSON even on a terminal
    #[argh(switch)]
    json: bool,
}

/// Runs the command and returns the exit code.
pub fn run(arguments: &AskArguments) -> u8 {
    run_to_exit_code(ask(arguments))
}

async fn ask(arguments: &AskArguments) -> Result<u8, ClientError> {
    let client = OperatorClient::new(arguments.at, arguments.token.clone())?;
    if arguments.print_config {
        let answer = client.config().await?;
        // The daemon always sends the document; if a later version doesn't, an empty line is
        // printed.
        print_line!("{}", answer.body["document"].as_str().unwrap_or_default());
        eprintln!("version {}", answer.body["version"]);
        return Ok(exit_code(answer.status));
    }
    let operation = arguments.operation.clone().unwrap_or_else(new_operation_id);
    let mut request = OperatorRequest {
        statement: arguments.statement.clone(),
        document: None,
        base_version: None,
        operation_id: Some(OperationId::new(&operation)),
    };
    if let Some(file) = &arguments.propose {
        match std::fs::read_to_string(file) {
            Ok(text) => request.document = Some(text),
            Err(error) => {
                eprintln!("{}: {error}", file.display());
                return Ok(exit::USAGE);
            }
        }
        request.base_version = Some(base_version(arguments, &client).await?);
    }
    if request.statement.is_none() && request.document.is_none() {
        eprintln!("no statement given; give one, or --propose or --print-config");
        return Ok(exit::USAGE);
    }
    let answer = client.ask(&request).await?;
    print_answer(&answer, arguments.json, &operation);
    Ok(exit_code(answer.status))
}

async fn base_version(
    arguments: &AskArguments,
    client: &OperatorClient,
) -> Result<ConfigVersion, ClientError> {
    if let Some(base) = arguments.base {
        return Ok(ConfigVersion(base));
    }
    let answer = client.config().await?;
    // The daemon refuses version 0 as a conflict, so that nothing is overwritten.
    Ok(ConfigVersion(answer.body["version"].as_u64().unwrap_or(0)))
}

fn new_operation_id() -> String {
    format!("op-{:016x}", rand::random::<u64>())
}

fn exit_code(status: u16) -> u8 {
    match status {
        200..=299 => exit::OK,
        409 => exit::NEGATIVE,
        503 | 504 => exit::UNREACHABLE,
        _ => exit::USAGE,
    }
}

fn print_answer(answer: &DaemonAnswer, is_json: bool, operation: &str) {
    if is_json || !std::io::stdout().is_terminal() {
        print_line!("{}", answer.body);
        return;
    }
    if let Some(error) = answer.body["error"].as_str() {
        eprintln!("{error}");
        return;
    }
    match serde_json::from_value::<OperatorAnswer>(answer.body.clone()) {
        Ok(rows) => print_rows(&rows),
        Err(_) => print_line!("{}  (operation {operation})", answer.body),
    }
}

fn print_rows(answer: &OperatorAnswer) {
    print_line!("{}", table(&answer.rows));
    if !answer.missing.is_empty() {
        let names: Vec<&str> = answer.missing.iter().map(|vm| vm.as_str()).collect();
        eprintln!("incomplete: no answer from {}", names.join(", "));
    }
}

/// Formats rows as a table.
pub fn table(rows: &[Row]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    if let Some(first) = rows.first() {
        table.set_header(first.fields.iter().map(|field| field.name.clone()));
    }
    for row in rows {
        table.add_row(row.fields.iter().map(|field| cell(&field.value)));
    }
    table
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if !number.is_u64() => format!("{float:.3}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}
