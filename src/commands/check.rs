//! `bridgevane check`: checks a configuration file before it is proposed.

use crate::commands::{exit, print_line};
use crate::modules::serve::configuration::in_force::key_digest;
use argh::FromArgs;
use bridgevane_config::Document;
use std::path::PathBuf;

/// Check a configuration file and print all errors with their positions and a correct form.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// the configuration file
    #[argh(positional)]
    file: Option<PathBuf>,
    /// read a customer's key from standard input and print its digest for the configuration
    #[argh(switch)]
    digest: bool,
}

/// Runs the command and returns the exit code.
pub fn run(arguments: &CheckArguments) -> u8 {
    if arguments.digest {
        return print_digest();
    }
    let Some(file) = &arguments.file else {
        eprintln!("no configuration file given; give one, or --digest");
        return exit::USAGE;
    };
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            return exit::USAGE;
        }
    };
    match Document::parse(&text) {
        Ok(document) => {
            print_line!(
                "ok: {} classes, {} customers, {} kinds, {} services",
                document.class.len(),
                document.customer.len(),
                document.kind.len(),
                document.service.len(),
            );
            exit::OK
        }
        Err(problems) => {
            eprintln!("{problems}");
            exit::USAGE
        }
    }
}

fn print_digest() -> u8 {
    let mut key = String::new();
    if let Err(error) = std::io::stdin().read_line(&mut key) {
        eprintln!("{error}");
        return exit::USAGE;
    }
    print_line!("{}", key_digest(key.trim()));
    exit::OK
}
