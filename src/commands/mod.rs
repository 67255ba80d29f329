//! The command line, with one module per subcommand.

pub mod ask;
pub mod check;
#[cfg(feature = "standins")]
pub mod demo;
pub mod gateway;
pub mod operator_client;
pub mod report;
pub mod serve;
#[cfg(feature = "standins")]
pub mod soak;
#[cfg(feature = "standins")]
pub mod standin;

use argh::FromArgs;
use std::process::ExitCode;

/// Prints a line to standard output and ignores errors, since the reader may have closed it.
macro_rules! print_line {
    ($($arguments:tt)*) => {{
        use std::io::Write as _;
        // If standard output is closed, the error can't be reported anywhere.
        let _ = writeln!(std::io::stdout(), $($arguments)*);
    }};
}
pub(crate) use print_line;

/// Exit codes. See docs/CLI.md.
pub mod exit {
    /// The command succeeded.
    pub const OK: u8 = 0;
    /// The command was carried out with a negative result, such as a broken promise or a refused
    /// change.
    pub(crate) const NEGATIVE: u8 = 1;
    /// Settings, a file or a query are invalid.
    pub(crate) const USAGE: u8 = 2;
    /// The other side can't be reached.
    pub(crate) const UNREACHABLE: u8 = 3;
}

/// A router for language-model traffic with priorities and service levels.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
// There is one value per process, so that its size doesn't matter.
#[allow(clippy::large_enum_variant)]
enum Command {
    Serve(serve::ServeArguments),
    Gateway(gateway::GatewayArguments),
    Ask(ask::AskArguments),
    Check(check::CheckArguments),
    Report(report::ReportArguments),
    #[cfg(feature = "standins")]
    Demo(demo::DemoArguments),
    #[cfg(feature = "standins")]
    Soak(soak::SoakArguments),
    #[cfg(feature = "standins")]
    Standin(standin::StandinArguments),
}

/// The file name that stands for standard input on the command line.
const STANDARD_INPUT: &str = "-";
/// The path of standard input. The parser takes a word that begins with a dash for an option.
const STANDARD_INPUT_PATH: &str = "/dev/stdin";

impl Arguments {
    /// Parses the command line of this process. After an error, or a request for help, the process
    /// ends.
    pub fn from_command_line() -> Self {
        let mut words = std::env::args().map(|word| match word.as_str() {
            STANDARD_INPUT => STANDARD_INPUT_PATH.to_owned(),
            _ => word,
        });
        let program = words.next().unwrap_or_default();
        let words: Vec<String> = words.collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        Self::from_args(&[&program], &words).unwrap_or_else(|exit| {
            let is_help = exit.status.is_ok();
            if is_help {
                print_line!("{}", exit.output);
            } else {
                eprintln!(
                    "{}\nRun {program} --help for more information.",
                    exit.output
                );
            }
            std::process::exit(i32::from(!is_help))
        })
    }
}

/// Runs a command and returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    if arguments.version {
        print_line!("bridgevane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::from(exit::OK);
    }
    let Some(command) = arguments.command else {
        eprintln!("no command given; --help lists the commands");
        return ExitCode::from(exit::USAGE);
    };
    let code = match command {
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Gateway(arguments) => gateway::run(&arguments),
        Command::Ask(arguments) => ask::run(&arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Report(arguments) => report::run(&arguments),
        #[cfg(feature = "standins")]
        Command::Demo(arguments) => demo::run(&arguments),
        #[cfg(feature = "standins")]
        Command::Soak(arguments) => soak::run(&arguments),
        #[cfg(feature = "standins")]
        Command::Standin(arguments) => standin::run(arguments),
    };
    ExitCode::from(code)
}

/// Runs a future on a multi-threaded runtime.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> Result<T, std::io::Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}
