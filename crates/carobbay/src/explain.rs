use std::path;
use std::process;

use anyhow::Context;
use serde_json::Value;

use crate::api;
use crate::check;
use crate::cli;

/// Explains a request, from settings or from a running host.
pub(crate) fn run(options: &cli::Explain) -> anyhow::Result<process::ExitCode> {
    match (&options.request, &options.settings) {
        (Some(request), _) => running(options, request),
        (None, Some(folder)) => offline(options, folder),
        (None, None) => anyhow::bail!("set --settings or --request"),
    }
}

fn running(options: &cli::Explain, request: &str) -> anyhow::Result<process::ExitCode> {
    let path = format!("explain?request={request}");
    let answers = api::each(&options.hosts, async |api, address| {
        api.get::<Value>(address, &path).await
    })?;
    let mut found = false;
    for (address, answer) in answers {
        match answer {
            Ok(answer) => {
                found = true;
                steps(&answer);
            }
            Err(cause) => eprintln!("carobbay: {address}: {cause:#}"),
        }
    }
    Ok(match found {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::FAILURE,
    })
}

fn steps(answer: &Value) {
    for step in answer["steps"].as_array().into_iter().flatten() {
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

fn offline(options: &cli::Explain, folder: &path::Path) -> anyhow::Result<process::ExitCode> {
    let outcome = match check::load(folder)? {
        Ok(outcome) => outcome,
        Err(problems) => {
            for problem in &problems {
                eprintln!("{problem}");
            }
            return Ok(process::ExitCode::from(check::PROBLEMS));
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
    let resolved = match class::Table::new(&outcome.settings).resolve(&query) {
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
        let place = match &reason.source {
            class::Source::Setting(place) => origin(&outcome, place),
            class::Source::Request(_) => String::new(),
        };
        line(
            reason.property,
            &reason.value,
            &reason.source.to_string(),
            &place,
        );
    }
    if let Some(gap) = resolved.target_gap {
        let place = conf::Entry::new("class", &*resolved.class, "target_gap");
        let value = format!("{gap:?}");
        line(
            "target_gap",
            &value,
            &place.to_string(),
            &origin(&outcome, &place),
        );
    }
    endpoints(&outcome, pool);
    Ok(process::ExitCode::SUCCESS)
}

fn line(what: &str, value: &str, source: &str, place: &str) {
    out!("{what:<13} {value:<20} {source}{place}");
}

fn endpoints(outcome: &conf::Configuration, pool: &str) {
    for (index, names) in host::shards(&outcome.settings, pool).iter().enumerate() {
        out!("shard {index} of {pool}: {} endpoints", names.len());
        for name in names {
            let Some(endpoint) = outcome.settings.endpoints.get(name) else {
                continue;
            };
            let state = match endpoint.leaving {
                true => ("not a candidate: leaving", "leaving"),
                false => ("candidate", "pool"),
            };
            let place = conf::Entry::new("endpoint", name, state.1);
            out!(
                "  {name} at {} in {}, {} slots: {}{}",
                endpoint.address,
                endpoint.data_centre,
                endpoint.slots,
                state.0,
                origin(outcome, &place)
            );
        }
    }
}

fn origin(outcome: &conf::Configuration, place: &conf::Entry) -> String {
    match outcome.origin(place) {
        Some(origin) => format!(" ({}:{})", origin.file, origin.line),
        None => " (default)".to_owned(),
    }
}
