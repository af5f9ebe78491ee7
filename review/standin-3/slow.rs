//! Very slow senders take all connections of a host: each sends a small body but for its
//! end, and then a byte every three seconds.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, End};
use crate::host::Host;
use crate::net;
use crate::ordinary;
use crate::record;
use crate::setup;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Error, Verdict};

/// Connections of slow senders; the host of 2,870 descriptors takes 1,335.
const CONNECTIONS: usize = 1_400;

/// Pause before each connection.
const PAUSE: Duration = Duration::from_millis(1);

/// Bytes of a body, and how many of them are sent at once.
const BODY_BYTES: usize = 600;
const SENT_BYTES: usize = 590;

/// Pause between two further bytes.
const BYTE_PAUSE: Duration = Duration::from_secs(3);

/// Time for which ordinary clients try to connect.
const TIME: Duration = Duration::from_secs(14);

/// `stableWindowMs` of the settings.
const WINDOW: Duration = Duration::from_millis(3_000);

/// Clients that have to try meanwhile.
const CLIENTS_MIN: usize = 7;

/// Time from the start of the host after which it counts as in touch.
const SETTLE: Duration = Duration::from_millis(3_500);

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
    let ip = Ipv4Addr::new(127, 0, 76, 1);
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
    if has_trouble {
        let crowd: Vec<TcpStream> = (0..CONNECTIONS)
            .filter_map(|number| join(front, number))
            .collect();
        record::line(&format!("crowd: {} connections opened", crowd.len()));
        thread::spawn(move || trickle(crowd));
    }
    let begin = record::now();
    let until = Instant::now() + TIME;
    let ready = host.ready();
    let checks = thread::spawn(move || check_ready(ready, until));
    let calls = ordinary::call(front, TIME);
    let end = record::now();
    let unready = checks.join().unwrap_or_default();
    Ok(judge(&calls, (begin, end), &unready))
}

/// Opens a connection and sends a request but for the end of its body.
fn join(front: SocketAddrV4, number: usize) -> Option<TcpStream> {
    thread::sleep(PAUSE);
    let from = Ipv4Addr::new(127, 20, 0, 1);
    let mut stream = net::connect_from(from, front, client::CONNECT_TIME).ok()?;
    let head = client::head("POST", "/stock/1", &format!("slow-{number}"), 4_000);
    let body = "x".repeat(SENT_BYTES);
    let request = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Sends further bytes until the end of the scenario, none of them the last one.
fn trickle(mut crowd: Vec<TcpStream>) {
    for _ in SENT_BYTES + 1..BODY_BYTES - 1 {
        thread::sleep(BYTE_PAUSE);
        crowd.retain_mut(|stream| stream.write_all(b"x").is_ok());
    }
}

/// Asks once a second whether the host is ready; returns when it did not say so.
fn check_ready(ready: SocketAddrV4, until: Instant) -> Vec<Duration> {
    let mut unready = Vec::new();
    while Instant::now() < until {
        let start = Instant::now();
        if !client::is_ready(ready) {
            unready.push(record::now());
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(start.elapsed()));
    }
    unready
}

/// Checks the rule RECOVER: a host that says that it is ready takes a new connection within
/// `stableWindowMs` while seven clients or more try. A connection that is closed without an
/// answer was not taken.
fn judge(
    calls: &[ordinary::Call],
    (begin, end): (Duration, Duration),
    unready: &[Duration],
) -> Verdict {
    let mut taken: Vec<Duration> = calls
        .iter()
        .filter(|call| matches!(call.end, End::Status(_)))
        .map(|call| call.sent)
        .collect();
    taken.extend([begin, end]);
    taken.sort_unstable();
    let spans = taken.windows(2).map(|pair| (pair[0], pair[1]));
    let longest = spans
        .max_by_key(|(from, to)| *to - *from)
        .unwrap_or_default();
    let (from, to) = longest;
    let tried = calls
        .iter()
        .filter(|call| call.sent > from && call.sent < to);
    let clients: std::collections::BTreeSet<usize> =
        tried.clone().map(|call| call.client).collect();
    let not_ready = unready.iter().filter(|at| **at > from && **at < to).count();
    let served = calls
        .iter()
        .filter(|call| call.end == End::Status(200))
        .count();
    record::line(&format!(
        "ordinary requests: {} sent, {served} served; no new connection taken for {} ms, in which {} clients tried {} times and {not_ready} checks found the host not ready",
        calls.len(),
        (to - from).as_millis(),
        clients.len(),
        tried.count()
    ));
    match to - from > WINDOW && clients.len() >= CLIENTS_MIN && not_ready == 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
