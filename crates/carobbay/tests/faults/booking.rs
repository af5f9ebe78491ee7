//! Bookings: requests to a stand-in service that records each execution.

use core::time;
use std::collections;
use std::net;
use std::sync;

use testkit::client;
use testkit::load;
use testkit::service;

use crate::fleet;

/// Time-out of a caller that waits for the answer.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Starts a service that takes `delay` for each booking.
pub fn service(delay: time::Duration) -> service::Service {
    let options = service::Options {
        delay,
        slots: 64,
        ..service::Options::default()
    };
    service::Service::start(options).expect("the service starts")
}

/// Returns settings in which the first `owners` hosts are owners of idempotency keys.
pub fn settings(service: &service::Service, owners: usize) -> String {
    let owners: Vec<String> = (0..owners).map(|host| format!("host-{host}")).collect();
    let further = format!(
        "[pool order-desk]\nkind = service\nidempotent = false\n\
         [endpoint desk]\npool = order-desk\naddress = {}\ndata_centre = a\nslots = 64\n\
         [once]\nowners = {}\nepoch = 1\nlease = 1s\n\
         clock_skew = 50ms\nresend_max_age = 2m\n",
        service.address(),
        owners.join(", ")
    );
    fleet::settings(&[], &further)
}

/// Returns a booking whose request time is now; without a key it has no request time.
pub fn booking(tag: &str, key: Option<&str>) -> load::Call {
    let mut headers = Vec::new();
    if let Some(key) = key {
        headers.push(("idempotency-key".to_owned(), key.to_owned()));
        headers.push(("request-time".to_owned(), unix_ms().to_string()));
    }
    load::Call {
        path: "/services/order-desk/book".to_owned(),
        tag: tag.to_owned(),
        prompt: tag.to_owned(),
        expected: 1,
        key: Some(fleet::KEY.to_owned()),
        headers,
        ..load::Call::default()
    }
}

fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("the clock is past 1970").as_millis()
}

/// Sends a booking once. The caller closes the connection after `timeout`.
pub async fn attempt(
    call: &load::Call,
    address: net::SocketAddr,
    timeout: time::Duration,
) -> load::Outcome {
    let client = client::Client::new(client::Version::Http1, None);
    match tokio::time::timeout(timeout, call.send(&client, address)).await {
        Ok(record) => record.outcome,
        Err(_) => load::Outcome::Cancelled,
    }
}

/// Returns idempotency keys minted by a host; none if it does not respond.
pub async fn minted_keys(address: net::SocketAddr) -> Vec<String> {
    let value = fleet::discovery(address).await;
    let keys = value["keys"].as_array().cloned().unwrap_or_default();
    let keys = keys.iter().filter_map(|key| key.as_str());
    keys.map(str::to_owned).collect()
}

/// Waits until eight bookings in a row, each with a new key of the caller, succeed at
/// every running host.
pub async fn wait_until_ready(fleet: &fleet::Fleet) {
    for address in fleet.running_addresses() {
        fleet::until("bookings succeed", async || {
            for number in 0..8 {
                let tag = format!("probe-{}-{number}", rand::random::<u64>());
                let call = booking(&tag, Some(&tag));
                if !attempt(&call, address, TIMEOUT).await.is_whole() {
                    return false;
                }
            }
            true
        })
        .await;
    }
}

/// Outcomes of all attempts of each booking, by tag.
#[derive(Default)]
pub struct Answers(sync::Mutex<collections::BTreeMap<String, Vec<load::Outcome>>>);

impl Answers {
    /// Adds the outcome of an attempt.
    pub fn record(&self, tag: &str, outcome: load::Outcome) {
        let mut answers = self.0.lock().expect("no test panics with the lock");
        answers.entry(tag.to_owned()).or_default().push(outcome);
    }

    /// Checks the outcomes against the executions of the service and returns the number
    /// of bookings that were answered.
    ///
    /// # Panics
    ///
    /// Panics if a booking ran twice, if an answered booking did not run exactly once, if
    /// a booking ran although all its attempts were refused with `not_run`, or if an
    /// answer was wrong.
    pub fn check(&self, service: &service::Service) -> usize {
        let runs = runs(service);
        let mut answered = 0;
        for (tag, count) in &runs {
            assert!(*count < 2, "{tag} ran {count} times");
        }
        for (tag, outcomes) in self.0.lock().expect("no test panics").iter() {
            let count = runs.get(tag).copied().unwrap_or_default();
            for outcome in outcomes {
                assert!(
                    outcome.is_whole() || !matches!(outcome, load::Outcome::Answered(_)),
                    "{tag} got a wrong answer: {outcome:?}"
                );
            }
            if outcomes.iter().any(load::Outcome::is_whole) {
                assert_eq!(count, 1, "{tag} was answered: {outcomes:?}");
                answered += 1;
            }
            if outcomes
                .iter()
                .all(|outcome| run_state(outcome) == "not_run")
            {
                assert_eq!(
                    count, 0,
                    "{tag} ran, but every attempt was refused with not_run: {outcomes:?}"
                );
            }
        }
        answered
    }
}

/// Returns the number of executions by tag.
pub fn runs(service: &service::Service) -> collections::BTreeMap<String, usize> {
    let mut runs = collections::BTreeMap::new();
    for execution in service.executions() {
        let body: serde_json::Value =
            serde_json::from_str(&execution.body).expect("the body is JSON");
        let tag = body["tag"].as_str().expect("the body has a tag");
        *runs.entry(tag.to_owned()).or_default() += 1;
    }
    runs
}

/// Returns the run state of a refusal; empty for other outcomes.
pub fn run_state(outcome: &load::Outcome) -> &str {
    match outcome {
        load::Outcome::Refused { run_state, .. } => run_state,
        _ => "",
    }
}
