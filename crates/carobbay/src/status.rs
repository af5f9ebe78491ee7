use std::collections;
use std::net;
use std::process;

use serde_json::Value;

use crate::api;
use crate::cli;

/// Responses of one host.
struct Answer {
    status: Value,
    hosts: Value,
}

/// Runs the command `status`: prints the state of running hosts. The exit code is a
/// failure if one of them cannot be queried.
pub(crate) fn run(options: &cli::Status) -> anyhow::Result<process::ExitCode> {
    let answers = api::query_each(&options.hosts, async |client, address| {
        let status = client.get(address, "status").await?;
        let hosts: Value = client.get(address, "hosts").await?;
        let hosts = hosts["hosts"].clone();
        Ok(Answer { status, hosts })
    })?;
    match options.format {
        cli::Format::Text => print_text(&answers),
        cli::Format::Json => out!("{}", json(&answers)),
    }
    let failed = answers.iter().any(|(_, answer)| answer.is_err());
    Ok(match failed {
        true => process::ExitCode::FAILURE,
        false => process::ExitCode::SUCCESS,
    })
}

type Answers = [(net::SocketAddr, anyhow::Result<Answer>)];

fn json(answers: &Answers) -> Value {
    let one = |(address, answer): &(net::SocketAddr, anyhow::Result<Answer>)| match answer {
        Ok(answer) => serde_json::json!({
            "admin": address, "status": answer.status, "hosts": answer.hosts
        }),
        Err(cause) => serde_json::json!({"admin": address, "error": format!("{cause:#}")}),
    };
    answers.iter().map(one).collect()
}

fn print_text(answers: &Answers) {
    let mut revisions = collections::BTreeMap::new();
    for (address, answer) in answers {
        match answer {
            Ok(answer) => {
                print_host(address, answer);
                let revision = answer.status["revision"].as_u64().unwrap_or(0);
                let names: &mut Vec<&str> = revisions.entry(revision).or_default();
                names.push(word(&answer.status["name"]));
            }
            Err(cause) => out!("{address}: {cause:#}"),
        }
    }
    if revisions.len() > 1 {
        out!("revisions differ:");
        for (revision, names) in revisions {
            out!("  {revision} on {}", names.join(", "));
        }
    }
}

fn print_host(address: &net::SocketAddr, answer: &Answer) {
    let status = &answer.status;
    let leaving = match status["leaving"].as_bool() {
        Some(true) => ", leaving",
        _ => "",
    };
    out!(
        "{} at {address} ({}/{}), up for {}{leaving}",
        word(&status["name"]),
        word(&status["region"]),
        word(&status["data_centre"]),
        seconds(&status["uptime_ms"])
    );
    let content: String = word(&status["content"]).chars().take(12).collect();
    let revision = match status["revision"].as_u64() {
        Some(0) | None => "local settings".to_owned(),
        Some(revision) => format!("revision {revision}"),
    };
    out!(
        "  {revision} in force for {}, content {content}",
        seconds(&status["revision_age_ms"])
    );
    if let Some(refused) = status["refused"].as_object() {
        out!(
            "  revision {} was refused: {}",
            refused["revision"],
            word(&refused["reason"])
        );
    }
    if !status["platform_ms"].is_null() {
        let age = seconds(&status["platform_ms"]);
        out!("  the platform answered {age} ago");
    }
    let lease = match status["lease"].as_bool() {
        Some(true) => "held",
        Some(false) => "not held",
        None => "not an owner",
    };
    out!(
        "  lease: {lease}; home of {} shards; {} open requests",
        status["shards"],
        status["requests"]
    );
    for peer in answer.hosts.as_array().into_iter().flatten() {
        let revision = match &peer["revision"] {
            Value::Null => "revision not known".to_owned(),
            revision => format!("revision {revision}"),
        };
        out!(
            "  peer {} {} {revision}",
            word(&peer["name"]),
            word(&peer["state"])
        );
    }
}

/// Returns a text value, or `?` if it is missing.
fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

/// Formats a value in milliseconds as whole seconds.
fn seconds(value: &Value) -> String {
    format!("{} s", value.as_u64().unwrap_or(0) / 1_000)
}
