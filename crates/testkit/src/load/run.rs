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

/// Share of a prompt that all requests of a flow have in common.
const COMMON_SHARE: f64 = 0.5;

/// What a run of the load needs besides the plan.
pub struct Options {
    /// Word that all tags of the run begin with.
    pub run: String,
    /// Distributions of output lengths, as the engines have them.
    pub lengths: Vec<engine::Length>,
    /// Seed of the output lengths, as the engines have it.
    pub engine_seed: u64,
    /// Time after which a caller gives up on an answer.
    pub timeout: time::Duration,
}

/// A request and what it experienced.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Request.
    pub arrival: Arrival,
    /// Tag.
    pub tag: String,
    /// Number of tokens that the whole answer has.
    pub expected: u32,
    /// Time by which it was sent later than planned, because the machine was busy.
    pub late: time::Duration,
    /// What it experienced.
    pub record: Record,
}

/// Sends the arrivals at their times and returns when all have ended.
///
/// The load is open: a slow answer delays no other request. `route` gives the
/// address for the request with this number.
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
                ..one(call, client, address, arrival, until).await
            }
        }));
    }
    let mut samples = Vec::with_capacity(tasks.len());
    for task in tasks {
        samples.extend(task.await);
    }
    samples
}

async fn one(
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

/// Each caller has an address of its own, because hosts bound the connections per
/// address; anonymous callers are in different /24 networks.
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
                prompt: text(flow, *prompt, arrival.size, &tag),
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

/// Returns the headers of a request with an idempotency key of its own.
pub fn idempotency_headers(tag: &str) -> Vec<(String, String)> {
    vec![
        ("idempotency-key".into(), format!("key-{tag}")),
        ("request-time".into(), engine::unix_ms().to_string()),
    ]
}

/// Builds a prompt whose first part is the same for all requests of the flow.
fn text(flow: &Flow, (least, most): (usize, usize), size: f64, tag: &str) -> String {
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
