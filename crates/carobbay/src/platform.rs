use std::process;

use crate::cli;
use crate::logging;

/// Runs the command `platform`: serves on the users' platform until SIGTERM.
pub(crate) fn run(arguments: &cli::Platform) -> anyhow::Result<process::ExitCode> {
    logging::start_json(arguments.log_level)?;
    let options = ::platform::Options {
        metrics_port: arguments.metrics_port,
    };
    let outcome = ::platform::run(&options);
    if let Err(cause) = &outcome {
        log::error!(target: "carobbay", "the host stopped with an error: {cause:#}");
    }
    crate::queue::Queue::wait_for_writer();
    outcome.map(|()| process::ExitCode::SUCCESS)
}
