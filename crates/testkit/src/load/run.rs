use core::time;
use std::collections;
use std::net;

use tokio::time::Instant;

use crate::client;
use crate::engine;
use crate::load::arrival::Arrival;
use crate::load::call::Call;
use crate::load::flow::{Flow, Work};
use crate::load::outcome::Outcome;
use crate::load::record::Record;

/// Fraction of a prompt that all requests of a flow share.
const COMMON_SHARE: f64 = 0.5;

/// Options of a load run.
pub struct Options {
    /// Prefix of all tags of the run.
    pub run: String,
    /// Distributions of output lengths, the same as those of the engines.
    pub lengths: Vec<engine::Length>,
    /// Seed of the output lengths, the same as that of the engines.
    pub engine_seed: u64,
    /// Time after which a caller cancels an unfinished request.
    pub timeout: time::Duration,
}

/// Request of a load run with its measurements.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Planned arrival of the request.
    pub arrival: Arrival,
    /// Tag of the request.
    pub tag: String,
    /// Number of tokens of the complete answer.
    pub expected: u32,
    /// Delay from the planned to the actual time of sending, which grows when the machine is
    /// overloaded.
    pub late: time::Duration,
    /// Measurements of the request.
    pub record: Record,
}

/// Sends the planned requests at their times and returns once all of them have ended.
///
/// The load is open-loop: a slow answer delays no other request. `route` returns the
/// address for the request with the given number.
pub async fn run(
    flows: &[Flow],
    arrivals: &[Arrival],
    options: &Options,
    route: impl Fn(&Flow, &Arrival, usize) -> net::SocketAddr,
) -> Vec<Sample> {
    let mut clients = collections::HashMap::new();
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(arrivals.len());
    for (number, &arrival) in arrivals.iter().enumerate() {
        let flow = &flows[arrival.flow];
        let client = clients
            .entry((arrival.flow, arrival.caller))
            .or_insert_with(|| connect(flow, &arrival))
            .clone();
        let call = call(flow, &arrival, options, number);
        let address = route(flow, &arrival, number);
        let until = arrival.hangup.unwrap_or(options.timeout);
        tokio::time::sleep_until(start + arrival.at).await;
        let due = start + arrival.at;
        tasks.push(tokio::spawn(async move {
            let late = due.elapsed();
            Sample {
                late,
                ..send_one(call, client, address, arrival, until).await
            }
        }));
    }
    let mut samples = Vec::with_capacity(tasks.len());
    for task in tasks {
        samples.extend(task.await);
    }
    samples
}

async fn send_one(
    call: Call,
    client: client::Client,
    address: net::SocketAddr,
    arrival: Arrival,
    until: time::Duration,
) -> Sample {
    let mut record = Record::default();
    let sent = call.send_into(&client, address, &mut record);
    if tokio::time::timeout(until, sent).await.is_err() {
        record.outcome = Outcome::Cancelled;
        record.total = until;
    }
    Sample {
        arrival,
        tag: call.tag,
        expected: call.expected,
        late: time::Duration::ZERO,
        record,
    }
}

/// Returns a client with a source address of its own, because hosts limit the connections
/// per address. Anonymous callers are in different /24 networks.
fn connect(flow: &Flow, arrival: &Arrival) -> client::Client {
    let caller = (arrival.caller % 250) as u8 + 1;
    let source = if flow.key.is_none() {
        net::Ipv4Addr::new(127, 1, caller, 1)
    } else {
        net::Ipv4Addr::new(127, 2, (arrival.flow % 250) as u8, caller)
    };
    client::Client::new(client::Version::Http1, Some(source))
}

fn call(flow: &Flow, arrival: &Arrival, options: &Options, number: usize) -> Call {
    let tag = format!("{}-{number}", options.run);
    let call = Call {
        key: flow.key.clone(),
        stream: true,
        expected: 1,
        ..Call::default()
    };
    match &flow.work {
        Work::Model {
            model,
            length,
            max_tokens,
            prompt,
        } => {
            let seed = engine::Length::seed(*length, arrival.draw);
            let wanted = engine::Length::of_seed(&options.lengths, options.engine_seed, seed);
            Call {
                path: "/v1/chat/completions".into(),
                model: Some(model.clone()),
                prompt: build_prompt(flow, *prompt, arrival.size, &tag),
                seed,
                max_tokens: *max_tokens,
                expected: wanted.min(max_tokens.unwrap_or(u32::MAX)),
                tag,
                ..call
            }
        }
        Work::Service { path, keyed } => Call {
            path: path.clone(),
            headers: if *keyed {
                idempotency_headers(&tag)
            } else {
                Vec::new()
            },
            tag,
            ..call
        },
    }
}

/// Returns the headers `idempotency-key`, which is unique to the tag, and `request-time`.
pub fn idempotency_headers(tag: &str) -> Vec<(String, String)> {
    vec![
        ("idempotency-key".into(), format!("key-{tag}")),
        ("request-time".into(), engine::unix_ms().to_string()),
    ]
}

/// Returns a prompt whose first part is the same for all requests of the flow.
fn build_prompt(flow: &Flow, (least, most): (usize, usize), size: f64, tag: &str) -> String {
    let length = least + ((most - least) as f64 * size) as usize;
    let common = (length as f64 * COMMON_SHARE) as usize;
    let mut text = format!("{} of {}. ", flow.class, flow.team).repeat(common / 16 + 1);
    text.truncate(common);
    while text.len() < length {
        text.push_str(tag);
        text.push(' ');
    }
    text
}
