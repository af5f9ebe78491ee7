use std::fs;
use std::process;

use anyhow::Context;

use crate::api;
use crate::cli;

/// Reports how hosts together meet the service levels.
pub(crate) fn run(options: &cli::Report) -> anyhow::Result<process::ExitCode> {
    let answers = api::each(&options.hosts, async |api, address| {
        api.get::<burn::Snapshot>(address, "burn").await
    })?;
    let mut merged = burn::Snapshot::default();
    let mut code = process::ExitCode::SUCCESS;
    for (address, answer) in answers {
        match answer {
            Ok(snapshot) => merged.merge(&snapshot),
            Err(cause) => {
                eprintln!("carobbay: {address} is missing in the report: {cause:#}");
                code = process::ExitCode::FAILURE;
            }
        }
    }
    let report = burn::Report::new(&merged);
    let text = match options.format {
        cli::Picture::Text => report.text(),
        cli::Picture::Json => report.json()?,
        cli::Picture::Svg => report.svg(),
    };
    match &options.output {
        None => out!("{}", text.trim_end()),
        Some(file) => {
            fs::write(file, text).with_context(|| format!("cannot write {}", file.display()))?
        }
    }
    Ok(code)
}
