use std::fmt::Write;
use std::fs;
use std::io::Read;
use std::net;
use std::path;
use std::process;

use anyhow::Context;
use serde_json::Value;

use crate::api;
use crate::cli;

/// Asks a host on the platform what it would do with a request, and prints the answer.
///
/// # Errors
///
/// Fails if a header is malformed, a file cannot be read or written, or the host gives no
/// explanation.
pub(crate) fn run(
    options: &cli::Explain,
    address: net::SocketAddr,
) -> anyhow::Result<process::ExitCode> {
    let mut headers = Vec::new();
    for header in &options.header {
        let (name, value) = header
            .split_once(':')
            .with_context(|| format!("expected NAME: VALUE, got {header}"))?;
        headers.push((name.trim(), value.trim()));
    }
    let description = serde_json::json!({
        "method": options.method, "path": options.path, "headers": headers,
        "content": content(options, &headers)?, "state": options.save_state.is_some(),
    });
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    let answer = runtime
        .block_on(api::post(address, "/explain", &description))
        .with_context(|| format!("{address}"))?;
    let explanation = match &options.save_state {
        Some(file) => {
            // Hosts of an earlier build answer with an explanation.
            let case = edge::Case::read(&answer).context("the host sent no state")?;
            fs::write(file, &answer).with_context(|| format!("cannot write {}", file.display()))?;
            case.explain().context("the host sent no sound state")?
        }
        None => serde_json::from_slice(&answer).context("cannot decode the response")?,
    };
    print(options, &explanation)
}

/// Explains the request in a file again, and prints the answer.
///
/// # Errors
///
/// Fails if the file cannot be read or holds no sound state.
pub(crate) fn run_again(
    options: &cli::Explain,
    file: &path::Path,
) -> anyhow::Result<process::ExitCode> {
    let read = || -> anyhow::Result<Value> {
        let mut bytes = Vec::new();
        let bytes_max = edge::Case::bytes_max() as u64;
        let file = fs::File::open(file)?;
        file.take(bytes_max + 1).read_to_end(&mut bytes)?;
        Ok(edge::Case::read(&bytes)?.explain()?)
    };
    let explanation = read().with_context(|| format!("cannot explain {}", file.display()))?;
    print(options, &explanation)
}

/// Returns what the host is told of the body file.
fn content(
    options: &cli::Explain,
    headers: &[(&str, &str)],
) -> anyhow::Result<Option<edge::Content>> {
    let Some(file) = &options.body else {
        return Ok(None);
    };
    let body = fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
    let path = options.path.as_deref().unwrap_or_default();
    let request = http::Request::builder().uri(path);
    let request = headers.iter().fold(request, |request, (name, value)| {
        request.header(*name, *value)
    });
    let (head, ()) = request.body(())?.into_parts();
    Ok(Some(edge::Content::new(&head, &body)))
}

fn print(options: &cli::Explain, explanation: &Value) -> anyhow::Result<process::ExitCode> {
    match options.format {
        cli::Format::Json => out!("{explanation:#}"),
        cli::Format::Text => out!("{}", table(explanation)?.trim_end()),
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Formats an explanation for people.
fn table(explanation: &Value) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    let (request, decision) = (&explanation["request"], &explanation["decision"]);
    writeln!(
        text,
        "route {} service {} team {} rank {} left {} ms target {} ms prompt {} tokens",
        word(&request["route"]),
        word(&request["service"]),
        word(&request["team"]),
        request["rank"],
        number(&request["leftMs"]),
        number(&request["targetMs"]),
        request["promptTokens"],
    )?;
    match decision["kind"].as_str() {
        Some("selected") => writeln!(
            text,
            "selected {} in {}, expected wait {} ms, through {} ({})",
            word(&decision["endpoint"]),
            word(&decision["dataCentre"]),
            number(&decision["waitMs"]),
            word(&decision["via"]["host"]),
            word(&decision["via"]["reason"]),
        )?,
        _ => writeln!(
            text,
            "refused: {}, retry after {} ms",
            word(&decision["reason"]),
            number(&decision["retryAfterMs"]),
        )?,
    }
    writeln!(
        text,
        "{:<14} {:<12} {:>7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}  taken",
        "endpoint",
        "state",
        "cached",
        "running",
        "queued",
        "tok/ms",
        "age",
        "prefill",
        "ahead",
        "slot",
        "decode",
        "again",
        "wait",
        "cost"
    )?;
    for endpoint in explanation["endpoints"].as_array().into_iter().flatten() {
        let states = endpoint["states"].as_array().into_iter().flatten();
        let states: Vec<&str> = states.map(word).collect();
        let estimate = &endpoint["estimate"];
        let taken = match estimate["isAdmitted"].as_bool() {
            Some(true) => "yes",
            Some(false) => "no",
            None => "not compared",
        };
        writeln!(
            text,
            "{:<14} {:<12} {:>7} {:>4}/{:<2} {:>7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}  {taken}",
            word(&endpoint["id"]),
            states.join(","),
            number(&endpoint["cachedTokens"]),
            number(&endpoint["running"]),
            number(&endpoint["slots"]),
            number(&endpoint["queuedTokens"]),
            number(&endpoint["prefillTokensPerMs"]),
            number(&endpoint["reportAgeMs"]),
            number(&estimate["prefillMs"]),
            number(&estimate["aheadMs"]),
            number(&estimate["slotMs"]),
            number(&estimate["decodeMs"]),
            number(&estimate["againMs"]),
            number(&estimate["waitMs"]),
            number(&estimate["costMs"]),
        )?;
    }
    Ok(text)
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn number(value: &Value) -> String {
    value
        .as_f64()
        .map_or_else(|| "-".to_owned(), |number| format!("{number:.0}"))
}
