use std::fs;
use std::process;

use anyhow::Context;

use crate::api;
use crate::cli;

/// Runs the command `report`: merges the counts of the hosts and prints the report.
/// Hosts that cannot be queried are left out and make the exit code a failure.
pub(crate) fn run(options: &cli::Report) -> anyhow::Result<process::ExitCode> {
    let results = api::query_each(&options.hosts, async |client, address| {
        client.get::<burn::Snapshot>(address, "burn").await
    })?;
    let mut merged = burn::Snapshot::default();
    let mut code = process::ExitCode::SUCCESS;
    for (address, result) in results {
        match result {
            Ok(snapshot) => merged.merge(&snapshot),
            Err(cause) => {
                eprintln!("carobbay: the report does not include {address}: {cause:#}");
                code = process::ExitCode::FAILURE;
            }
        }
    }
    let report = burn::Report::new(&merged);
    let text = match options.format {
        cli::ReportFormat::Text => report.text(),
        cli::ReportFormat::Json => report.json()?,
        cli::ReportFormat::Svg => report.svg(),
    };
    match &options.output {
        None => out!("{}", text.trim_end()),
        Some(file) => {
            fs::write(file, text).with_context(|| format!("cannot write {}", file.display()))?
        }
    }
    Ok(code)
}
