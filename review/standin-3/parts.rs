//! One caller whose prompts have very many short parts. Each request stays within
//! `maxHeaderBytes`.

use std::net::Ipv4Addr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::host::Host;
use crate::ordinary;
use crate::record;
use crate::setup;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Error, Verdict};

/// Parts of a prompt, of 7 bytes each with the comma.
const PARTS: usize = 2_100;

/// Requests of the caller per second.
const PER_SECOND: u32 = 40;

/// Time for which ordinary requests are counted.
const TIME: Duration = Duration::from_secs(20);

/// Time from the start of the host after which it counts as in touch.
const SETTLE: Duration = Duration::from_millis(3_500);

/// Deadline of the caller.
const DEADLINE_MS: u64 = 4_000;

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let store = Store::start()?;
    store.write("op/config", Some(&setup::config()));
    let mut workers = Vec::new();
    for number in 1..=3 {
        let id = format!("i-bottega-{number}");
        let worker = Worker::start(&id, Kind::Plain, Duration::from_millis(60), 6)?;
        let entry = setup::entry("bottega", worker.address, 6, "ready", 1);
        store.write(&format!("servers/{id}"), Some(&entry));
        workers.push(worker);
    }
    for number in 1..=9 {
        let id = format!("i-pool-{number}");
        let worker = Worker::start(&id, Kind::Stream, Duration::from_millis(100), 64)?;
        let entry = setup::entry("pool", worker.address, 64, "ready", 1);
        store.write(&format!("servers/{id}"), Some(&entry));
        workers.push(worker);
    }
    let ip = Ipv4Addr::new(127, 0, 73, 2);
    let first = Host::ports(ip)?;
    let seeds = [format!("{ip}:{}", first + 2).parse()?];
    let host = Host::start(
        &setup::GANCI,
        "front-brescia-1",
        ip,
        first,
        store.address,
        &seeds,
    )?;
    host.wait_until_ready()?;
    thread::sleep(SETTLE);
    let front = host.front();
    let until = Instant::now() + TIME;
    // PARTS=3 sends as many requests with prompts as the sheet has them, for comparison.
    let parts = std::env::var("PARTS")
        .ok()
        .and_then(|parts| parts.parse().ok())
        .unwrap_or(PARTS);
    let caller = has_trouble.then(|| {
        thread::spawn(move || {
            let start = Instant::now();
            let mut requests = Vec::new();
            while Instant::now() < until {
                let number = requests.len() as u32;
                let due = start + Duration::from_secs(1) * number / PER_SECOND;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let request = request(number, parts);
                requests.push(thread::spawn(move || {
                    let sent = Instant::now();
                    let end = client::call(front, &request, Duration::from_millis(DEADLINE_MS));
                    let took = sent.elapsed().as_millis();
                    record::line(&format!(
                        "caller: quote-{number} of {} header bytes, {end:?} after {took} ms",
                        request.len()
                    ));
                    end
                }));
            }
            requests
                .into_iter()
                .filter_map(|request| request.join().ok())
                .collect::<Vec<_>>()
        })
    });
    let calls = ordinary::call(front, TIME);
    if let Some(Ok(ends)) = caller.map(thread::JoinHandle::join) {
        let served = ends
            .iter()
            .filter(|end| **end == client::End::Status(200))
            .count();
        record::line(&format!(
            "caller: {served} of {} requests with {parts} parts served",
            ends.len()
        ));
    }
    Ok(ordinary::judge(&calls))
}

/// Returns a request whose prompt has this many parts, none shared with another request.
fn request(number: u32, parts: usize) -> Vec<u8> {
    let id = |index: usize| {
        // Spreads the ids over four hexadecimal digits.
        (number as usize * parts + index).wrapping_mul(40_503) % 65_536
    };
    let prompt: Vec<String> = (0..parts)
        .map(|index| format!("{:04x}:1", id(index)))
        .collect();
    let head = client::head("GET", "/quote/1", &format!("quote-{number}"), DEADLINE_MS);
    format!(
        "{head}X-Carobbay-Model: m\r\nX-Carobbay-Token-Counts: {parts},54\r\n\
         X-Carobbay-Prefix-Hash: {}\r\nConnection: close\r\n\r\n",
        prompt.join(",")
    )
    .into_bytes()
}
