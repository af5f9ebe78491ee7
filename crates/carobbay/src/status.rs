use std::collections;
use std::net;
use std::process;

use serde_json::Value;

use crate::api;
use crate::cli;

/// What one host answered.
struct Answer {
    status: Value,
    hosts: Value,
}

/// Shows the state of running hosts.
pub(crate) fn run(options: &cli::Status) -> anyhow::Result<process::ExitCode> {
    let answers = api::each(&options.hosts, async |api, address| {
        let status = api.get(address, "status").await?;
        let hosts: Value = api.get(address, "hosts").await?;
        let hosts = hosts["hosts"].clone();
        Ok(Answer { status, hosts })
    })?;
    match options.format {
        cli::Format::Text => text(&answers),
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

fn text(answers: &Answers) {
    let mut revisions = collections::BTreeMap::new();
    for (address, answer) in answers {
        match answer {
            Ok(answer) => {
                host(address, answer);
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

fn host(address: &net::SocketAddr, answer: &Answer) {
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

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn seconds(value: &Value) -> String {
    format!("{} s", value.as_u64().unwrap_or(0) / 1_000)
}
