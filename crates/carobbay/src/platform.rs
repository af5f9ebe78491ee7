use std::process;

use crate::cli;
use crate::logging;

/// Serves on the users' platform until SIGTERM.
pub(crate) fn run(arguments: &cli::Platform) -> anyhow::Result<process::ExitCode> {
    logging::start_lines(arguments.log_level)?;
    let options = ::platform::Options {
        metrics_port: arguments.metrics_port,
    };
    let outcome = ::platform::run(&options);
    if let Err(cause) = &outcome {
        log::error!(target: "carobbay", "stopped by an error: {cause:#}");
    }
    crate::queue::Queue::settle();
    outcome.map(|()| process::ExitCode::SUCCESS)
}
