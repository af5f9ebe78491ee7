use std::path;
use std::process;

use anyhow::Context;
use serde_json::Value;

use crate::api;
use crate::check;
use crate::cli;
use crate::decision;

/// Runs the command `explain`: explains a request, from settings or from running hosts.
pub(crate) fn run(options: &cli::Explain) -> anyhow::Result<process::ExitCode> {
    if let Some(address) = options.at {
        return decision::run(options, address);
    }
    if let Some(file) = &options.state {
        return decision::run_again(options, file);
    }
    match (&options.request, &options.settings) {
        (Some(request), _) => print_decisions(options, request),
        (None, Some(folder)) => print_resolution(options, folder),
        (None, None) => anyhow::bail!("set --settings, --request, --at or --state"),
    }
}

/// Prints the decisions that hosts recorded about a request. The exit code is a failure
/// if no host has any.
fn print_decisions(options: &cli::Explain, request: &str) -> anyhow::Result<process::ExitCode> {
    let path = format!("explain?{}", back::Query::new("request", request));
    let results = api::query_each(&options.hosts, async |client, address| {
        client.get::<Value>(address, &path).await
    })?;
    let mut is_found = false;
    for (address, result) in results {
        match result {
            Ok(explanation) => {
                is_found = true;
                print_steps(&explanation);
            }
            Err(cause) => eprintln!("carobbay: {address}: {cause:#}"),
        }
    }
    Ok(match is_found {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::FAILURE,
    })
}

fn print_steps(explanation: &Value) {
    for step in explanation["steps"].as_array().into_iter().flatten() {
        let word = |name: &str| step[name].as_str().unwrap_or_default();
        out!(
            "{:>8} ms  {}  {:<8}  {}",
            step["at_ms"].as_u64().unwrap_or(0),
            word("host"),
            word("event"),
            word("detail")
        );
    }
}

/// Prints how the settings in a folder classify a request, the setting behind each
/// property, and the endpoints of its pool.
fn print_resolution(
    options: &cli::Explain,
    folder: &path::Path,
) -> anyhow::Result<process::ExitCode> {
    let configuration = match check::load(folder)? {
        Ok(configuration) => configuration,
        Err(problems) => {
            for problem in &problems {
                eprintln!("{problem}");
            }
            return Ok(process::ExitCode::from(check::EXIT_PROBLEMS));
        }
    };
    let pool = options.model.as_ref().or(options.service.as_ref());
    let pool = pool.context("set --model or --service")?;
    let key = api::key(&options.hosts)?;
    let query = class::Query {
        bearer: key.as_deref(),
        address: options.address,
        pool,
        idempotent: None,
        deadline: None,
    };
    let resolved = match class::Table::new(&configuration.settings).resolve(&query) {
        Ok(resolved) => resolved,
        Err(refusal) => {
            out!(
                "refused: {} ({}): {}",
                refusal.kind,
                refusal.run_state(),
                refusal.message
            );
            return Ok(process::ExitCode::FAILURE);
        }
    };
    for reason in resolved.reasons() {
        let origin = match &reason.source {
            class::Source::Setting(setting) => origin(&configuration, setting),
            class::Source::Request(_) => String::new(),
        };
        print_line(
            reason.property,
            &reason.value,
            &reason.source.to_string(),
            &origin,
        );
    }
    if let Some(gap) = resolved.target_gap {
        let setting = conf::Entry::new("class", &*resolved.class, "target_gap");
        let value = format!("{gap:?}");
        print_line(
            "target_gap",
            &value,
            &setting.to_string(),
            &origin(&configuration, &setting),
        );
    }
    print_endpoints(&configuration, pool);
    Ok(process::ExitCode::SUCCESS)
}

fn print_line(what: &str, value: &str, source: &str, origin: &str) {
    out!("{what:<13} {value:<20} {source}{origin}");
}

/// Prints the endpoints of each shard of a pool, and whether they are candidates.
fn print_endpoints(configuration: &conf::Configuration, pool: &str) {
    for (index, names) in host::shards(&configuration.settings, pool)
        .iter()
        .enumerate()
    {
        out!("shard {index} of {pool}: {} endpoints", names.len());
        for name in names {
            let Some(endpoint) = configuration.settings.endpoints.get(name) else {
                continue;
            };
            let state = match endpoint.leaving {
                true => ("not a candidate: leaving", "leaving"),
                false => ("candidate", "pool"),
            };
            let setting = conf::Entry::new("endpoint", name, state.1);
            out!(
                "  {name} at {} in {}, {} slots: {}{}",
                endpoint.address,
                endpoint.data_centre,
                endpoint.slots,
                state.0,
                origin(configuration, &setting)
            );
        }
    }
}

/// Returns the file and line of a setting, or `(default)`, in parentheses.
fn origin(configuration: &conf::Configuration, setting: &conf::Entry) -> String {
    match configuration.origin(setting) {
        Some(origin) => format!(" ({}:{})", origin.file, origin.line),
        None => " (default)".to_owned(),
    }
}
