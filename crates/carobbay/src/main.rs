//! The carobbay program.

use std::process;

use clap::CommandFactory;
use clap::Parser;

mod check;
mod cli;
mod logging;
mod serve;

fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    let outcome = match arguments.command {
        cli::Command::Serve(options) => serve::run(options),
        cli::Command::Check(options) => check::run(&options),
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
