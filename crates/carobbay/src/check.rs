use std::path;
use std::process;

use crate::cli;

/// Exit code for settings with problems.
pub(crate) const PROBLEMS: u8 = 3;

/// Checks a folder and prints its problems or the merged settings.
pub(crate) fn run(options: &cli::Check) -> anyhow::Result<process::ExitCode> {
    match load(&options.folder)? {
        Ok(outcome) => {
            if options.print {
                out!("{}", conf::render(&outcome).trim_end());
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
            Ok(process::ExitCode::from(PROBLEMS))
        }
    }
}

/// Reads and checks a folder.
///
/// # Errors
///
/// Fails if the folder cannot be read.
pub(crate) fn load(
    folder: &path::Path,
) -> anyhow::Result<Result<conf::Configuration, Vec<conf::Problem>>> {
    let files = conf::folder::read(folder)?;
    Ok(conf::load(&files))
}
