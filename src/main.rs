//! The `bridgevane` binary: parses the command line and runs the command.

use bridgevane::commands::{self, Arguments};
use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(Arguments::from_command_line())
}
