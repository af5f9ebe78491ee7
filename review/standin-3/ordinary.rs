//! Ordinary clients, which look up stock, and the rule on requests that are unanswered at
//! the time-out of their route.

use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::record;
use crate::setup;

/// Number of clients.
const CLIENTS: usize = 12;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(250);

/// Time that a client waits for an answer.
const DEADLINE_MS: u64 = 4_000;

/// Time after the time-out of the route in which an answer is owed.
const SLACK: Duration = Duration::from_millis(500);

/// Fewest requests for which the rule says anything.
const UNANSWERED_MIN: usize = 8;

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Call {
    pub client: usize,
    pub sent: Duration,
    pub took: Duration,
    pub end: client::End,
}

/// Lets the clients send requests for a time, each on a new connection.
pub fn call(front: SocketAddrV4, time: Duration) -> Vec<Call> {
    let until = Instant::now() + time;
    let clients = (0..CLIENTS).map(|number| thread::spawn(move || call_one(front, number, until)));
    let clients: Vec<_> = clients.collect();
    let calls = clients.into_iter().filter_map(|client| client.join().ok());
    calls.flatten().collect()
}

fn call_one(front: SocketAddrV4, client: usize, until: Instant) -> Vec<Call> {
    let mut calls = Vec::new();
    thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
    while Instant::now() < until {
        let id = format!("stock-{client}-{}", calls.len());
        let head = client::head("GET", "/stock/1", &id, DEADLINE_MS);
        let request = head + "Connection: close\r\n\r\n";
        let sent = record::now();
        let end = client::call(
            front,
            request.as_bytes(),
            Duration::from_millis(DEADLINE_MS),
        );
        let took = record::now() - sent;
        record::line(&format!(
            "client: {id} sent at {} ms, {end:?} after {} ms",
            sent.as_millis(),
            took.as_millis()
        ));
        calls.push(Call {
            client,
            sent,
            took,
            end,
        });
        thread::sleep(PAUSE);
    }
    calls
}

/// Checks the rule CONFIG: of the requests that are unanswered at the `timeoutMs` of their
/// route, at most half have no answer half a second later. A closed connection counts as an
/// answer here.
pub fn judge(calls: &[Call]) -> Verdict {
    let timeout = Duration::from_millis(setup::TIMEOUT_MS);
    let served = calls
        .iter()
        .filter(|call| call.end == client::End::Status(200))
        .count();
    let late: Vec<&Call> = calls.iter().filter(|call| call.took > timeout).collect();
    let none = late
        .iter()
        .filter(|call| call.took > timeout + SLACK)
        .count();
    let never = calls
        .iter()
        .filter(|call| call.end == client::End::Nothing)
        .count();
    record::line(&format!(
        "ordinary requests: {} sent, {served} served, {} unanswered at {} ms, {none} of them without an answer 500 ms later, {never} without any answer in {DEADLINE_MS} ms",
        calls.len(),
        late.len(),
        setup::TIMEOUT_MS
    ));
    match late.len() >= UNANSWERED_MIN && none * 2 > late.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
