//! The program `carobbay`: command line and commands.
//!
//! `serve` and `platform` run a router host of the crate `host` or `platform` in this
//! process; `status`, `explain` and `report` query the administration API of running
//! hosts.

use std::process;

use clap::CommandFactory;
use clap::Parser;

/// Prints a line to standard output. Write errors are ignored, because a reader such as
/// `head` may close the pipe early.
macro_rules! out {
    ($($part:tt)*) => {{
        use std::io::Write;
        drop(writeln!(std::io::stdout(), $($part)*));
    }};
}

mod api;
mod check;
mod cli;
mod decision;
mod demo;
mod explain;
mod logging;
mod platform;
mod progress;
mod queue;
mod report;
mod serve;
mod status;
mod tls;

fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    let outcome = match arguments.command {
        cli::Command::Serve(options) => serve::run(*options),
        cli::Command::Platform(options) => platform::run(&options),
        cli::Command::Check(options) => check::run(&options),
        cli::Command::Status(options) => status::run(&options),
        cli::Command::Explain(options) => explain::run(&options),
        cli::Command::Report(options) => report::run(&options),
        cli::Command::Demo(options) => demo::run(&options),
        cli::Command::Completions { shell } => {
            let mut command = cli::Arguments::command();
            clap_complete::generate(shell, &mut command, "carobbay", &mut std::io::stdout());
            Ok(process::ExitCode::SUCCESS)
        }
    };
    match outcome {
        Ok(code) => code,
        Err(cause) => {
            eprintln!("carobbay: {cause:#}");
            process::ExitCode::FAILURE
        }
    }
}
