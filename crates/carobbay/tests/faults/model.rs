//! Model requests whose answers are checked token by token.

use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use http_body_util::BodyExt as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use testkit::client;
use testkit::engine;
use testkit::text;

use crate::fleet;

/// Number of output tokens of an answer.
pub const TOKENS: u32 = 24;

/// Starts a stand-in engine whose answers have [`TOKENS`] tokens.
pub fn engine(crash: Option<engine::Crash>) -> engine::Handle {
    engine_with(TOKENS, crash)
}

/// Starts a stand-in engine whose answers have `tokens` tokens.
pub fn engine_with(tokens: u32, crash: Option<engine::Crash>) -> engine::Handle {
    let options = engine::Options {
        model: "braille".to_owned(),
        lengths: vec![engine::Length {
            median: f64::from(tokens),
            sigma: 0.0,
            ..engine::Length::default()
        }],
        crash,
        ..engine::Options::default()
    };
    engine::Engine::start(options).expect("the engine starts")
}

/// Returns the addresses of engines.
pub fn addresses(engines: &[engine::Handle]) -> Vec<net::SocketAddr> {
    engines.iter().map(engine::Handle::address).collect()
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Every token arrived once and in order, followed by the final event.
    Whole,
    /// A correct prefix arrived, followed by an error event.
    Cut,
    /// A correct prefix or nothing arrived before the connection failed.
    Broken,
    /// The request was refused with this kind and run state.
    Refused(String, String),
    /// A token was lost, duplicated or from another answer, or the answer ended early
    /// without an error.
    Wrong(String),
}

/// Sends a request and checks every token of its answer.
pub async fn send(
    client: &client::Client,
    address: net::SocketAddr,
    tag: &str,
    prompt: &str,
    stream: bool,
) -> Outcome {
    let body = serde_json::json!({
        "model": "braille", "stream": stream, "user": tag,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", fleet::KEY))
        .header("content-type", "application/json")
        .body(body.to_string().into())
        .expect("the request is valid");
    let Ok(response) = client.send(request).await else {
        return Outcome::Broken;
    };
    let is_success = response.status().is_success();
    let mut text = String::new();
    let mut is_broken = false;
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(Err(_)) => {}
            Err(_) => is_broken = true,
        }
    }
    match (is_success, stream) {
        (false, _) if is_broken => Outcome::Broken,
        (false, _) => refused(&text),
        (true, true) => streamed(tag, &text, is_broken),
        (true, false) if is_broken => Outcome::Broken,
        (true, false) => verdict(tag, &content(&text)),
    }
}

/// Decodes the kind and run state of a refusal.
fn refused(text: &str) -> Outcome {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or("").to_owned();
    Outcome::Refused(field("kind"), field("run_state"))
}

/// Checks a streamed answer.
fn streamed(tag: &str, text: &str, is_broken: bool) -> Outcome {
    let events: Vec<&str> = text
        .split_inclusive("\n\n")
        .filter_map(|event| event.strip_suffix("\n\n")?.strip_prefix("data: "))
        .collect();
    let tokens: String = events.iter().map(|event| content(event)).collect();
    let is_error = events.iter().any(|event| event.starts_with("{\"error\""));
    if events.contains(&"[DONE]") {
        return match verdict(tag, &tokens) {
            Outcome::Whole if is_error => Outcome::Wrong("error and final event".to_owned()),
            outcome => outcome,
        };
    }
    let count = tokens.matches(' ').count();
    let prefix: String = (0..)
        .take(count)
        .map(|number| text::token(tag, number))
        .collect();
    if prefix != tokens {
        return Outcome::Wrong(tokens);
    }
    match (is_error, is_broken) {
        // Before the first token, a request is retried elsewhere or refused with a status.
        (true, _) if count == 0 => Outcome::Wrong("cut before the first token".to_owned()),
        (true, _) => Outcome::Cut,
        (false, true) => Outcome::Broken,
        (false, false) => Outcome::Wrong(format!("no end after {count} tokens")),
    }
}

/// Checks the tokens of an answer that ended without an error.
fn verdict(tag: &str, tokens: &str) -> Outcome {
    let mut check = text::Check::new(tag);
    check.push(tokens);
    match check.finish(TOKENS) {
        text::Verdict::Whole => Outcome::Whole,
        verdict => Outcome::Wrong(format!("{verdict:?}: {tokens}")),
    }
}

/// Returns the content of an answer or of one event of its stream.
fn content(text: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let choice = &value["choices"][0];
    let contents = [&choice["delta"]["content"], &choice["message"]["content"]];
    let mut contents = contents.into_iter().filter_map(serde_json::Value::as_str);
    contents.next().unwrap_or_default().to_owned()
}

/// Returns an HTTP client for a caller.
pub fn client() -> client::Client {
    client::Client::new(client::Version::Http1, None)
}

/// Load of several callers, each of which sends one request after the other.
pub struct Load {
    addresses: tokio::sync::watch::Sender<Vec<net::SocketAddr>>,
    callers: Vec<tokio::task::JoinHandle<()>>,
    records: sync::Arc<sync::Mutex<Vec<(String, Outcome)>>>,
    whole: sync::Arc<atomic::AtomicUsize>,
}

impl Load {
    /// Starts callers that send to the hosts at these addresses.
    pub fn start(seed: u64, callers: u64, addresses: Vec<net::SocketAddr>) -> Self {
        let addresses = tokio::sync::watch::Sender::new(addresses);
        let records = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let whole = sync::Arc::new(atomic::AtomicUsize::new(0));
        let callers = (0..callers)
            .map(|caller| {
                let (receiver, records) = (addresses.subscribe(), records.clone());
                let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed * 1_000 + caller);
                tokio::spawn(run(caller, rng, receiver, records, whole.clone()))
            })
            .collect();
        Self {
            addresses,
            callers,
            records,
            whole,
        }
    }

    /// Sends new requests to the hosts at these addresses.
    pub fn use_hosts(&self, addresses: Vec<net::SocketAddr>) {
        self.addresses.send_replace(addresses);
    }

    /// Waits until `count` more answers were whole.
    pub async fn progress(&self, count: usize) {
        let target = self.whole.load(atomic::Ordering::Relaxed) + count;
        fleet::until("answers are whole", async || {
            self.whole.load(atomic::Ordering::Relaxed) >= target
        })
        .await;
    }

    /// Stops sending, waits for the requests in flight and returns the outcome of each
    /// request by tag.
    ///
    /// # Panics
    ///
    /// Panics if an answer was wrong. Answers that are cut because a host ended are
    /// allowed.
    pub async fn end(self) -> Vec<(String, Outcome)> {
        drop(self.addresses);
        for caller in self.callers {
            caller.await.expect("the caller does not panic");
        }
        let records = self.records.lock().expect("no test panics").clone();
        for (tag, outcome) in &records {
            assert!(!matches!(outcome, Outcome::Wrong(_)), "{tag}: {outcome:?}");
        }
        records
    }
}

/// Asserts that there were requests and that every answer was whole.
pub fn assert_whole(records: &[(String, Outcome)]) {
    let failed: Vec<_> = records
        .iter()
        .filter(|(_, outcome)| *outcome != Outcome::Whole)
        .collect();
    let (count, first) = (records.len(), failed.first());
    assert!(first.is_none(), "{} of {count}: {first:?}", failed.len());
    assert!(count > 0, "no request was sent");
}

/// Sends one request after the other until the sender of the addresses is dropped.
async fn run(
    caller: u64,
    mut rng: rand_pcg::Pcg64Mcg,
    addresses: tokio::sync::watch::Receiver<Vec<net::SocketAddr>>,
    records: sync::Arc<sync::Mutex<Vec<(String, Outcome)>>>,
    whole: sync::Arc<atomic::AtomicUsize>,
) {
    let client = client();
    for number in 0.. {
        if addresses.has_changed().is_err() {
            return;
        }
        let hosts = addresses.borrow().clone();
        let address = *hosts.choose(&mut rng).expect("there are hosts");
        let tag = format!("m-{caller}-{number}");
        let stream = rng.random_bool(0.7);
        let outcome = send(&client, address, &tag, "ward three", stream).await;
        let add = usize::from(outcome == Outcome::Whole);
        whole.fetch_add(add, atomic::Ordering::Relaxed);
        let is_failed = add == 0;
        records.lock().expect("no test panics").push((tag, outcome));
        if is_failed {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}
