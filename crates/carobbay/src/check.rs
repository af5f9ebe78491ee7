use std::path;
use std::process;

use crate::cli;

/// Exit code for settings with problems.
pub(crate) const EXIT_PROBLEMS: u8 = 3;

/// Runs the command `check`: prints the problems of a settings folder, or the merged
/// settings with `--print`.
pub(crate) fn run(options: &cli::Check) -> anyhow::Result<process::ExitCode> {
    match load(&options.folder)? {
        Ok(configuration) => {
            if options.print {
                out!("{}", conf::render(&configuration).trim_end());
            } else {
                out!("{}: no problems", options.folder.display());
            }
            Ok(process::ExitCode::SUCCESS)
        }
        Err(problems) => {
            for problem in &problems {
                out!("{problem}");
            }
            eprintln!(
                "carobbay: {} problems in {}",
                problems.len(),
                options.folder.display()
            );
            Ok(process::ExitCode::from(EXIT_PROBLEMS))
        }
    }
}

/// Reads and checks a settings folder. The inner result is the configuration or all
/// of its problems.
///
/// # Errors
///
/// Returns an error if the folder cannot be read.
pub(crate) fn load(
    folder: &path::Path,
) -> anyhow::Result<Result<conf::Configuration, Vec<conf::Problem>>> {
    let files = conf::folder::read(folder)?;
    Ok(conf::load(&files))
}
