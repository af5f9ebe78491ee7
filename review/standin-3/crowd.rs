//! A crowd of slow clients, each at an address of its own. Each opens a connection, sends
//! one small request on a path without a route, and then sends nothing for seconds. New
//! ones come while the host has as many connections as it takes.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::host::Host;
use crate::net;
use crate::ordinary;
use crate::record;
use crate::setup;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Error, Verdict};

/// Clients that come before the ordinary ones are counted; the host of 2,870 descriptors
/// takes 1,335 connections.
const FIRST: usize = 1_400;

/// Clients that come per second after that.
const PER_SECOND: usize = 200;

/// Time for which ordinary requests are counted.
const TIME: Duration = Duration::from_secs(20);

/// Connections of the crowd that stay open; older ones are closed by their clients.
const OPEN_MAX: usize = 3_000;

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
    let ip = Ipv4Addr::new(127, 0, 73, 1);
    let first = Host::ports(ip)?;
    let seeds = [format!("{ip}:{}", first + 2).parse()?];
    let host = Host::start(&setup::GANCI, "front-brescia-1", ip, first, store.address, &seeds)?;
    host.wait_until_ready()?;
    thread::sleep(SETTLE);
    // With SPREAD=0 the whole crowd has one address, for comparison.
    let is_spread = std::env::var("SPREAD").as_deref() != Ok("0");
    let front = host.front();
    let mut crowd = Vec::new();
    if has_trouble {
        for number in 0..FIRST {
            crowd.extend(join(front, number, is_spread));
        }
        record::line(&format!("crowd: {} of {FIRST} connections opened, own addresses: {is_spread}", crowd.len()));
    }
    let until = Instant::now() + TIME;
    let joined = Arc::new(AtomicUsize::new(0));
    let coming = has_trouble.then(|| {
        let joined = joined.clone();
        thread::spawn(move || come(front, crowd, until, is_spread, &joined))
    });
    let ready = host.ready();
    let checks = thread::spawn(move || check_ready(ready, until));
    let calls = ordinary::call(front, TIME);
    if let Some(coming) = coming {
        drop(coming.join());
    }
    record::line(&format!("crowd: {} more connections opened", joined.load(Ordering::SeqCst)));
    if let Ok((checks, failed, longest)) = checks.join() {
        record::line(&format!(
            "readiness: {failed} of {checks} checks without a 200 within 1 s, the slowest took {} ms",
            longest.as_millis()
        ));
    }
    Ok(ordinary::judge(&calls))
}

/// Lets further clients come until a time.
fn come(front: SocketAddrV4, mut crowd: Vec<TcpStream>, until: Instant, is_spread: bool, joined: &AtomicUsize) {
    let start = Instant::now();
    let mut number = 0;
    while Instant::now() < until {
        let due = start + Duration::from_secs(1) * number as u32 / PER_SECOND as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if let Some(stream) = join(front, FIRST + number, is_spread) {
            crowd.push(stream);
            joined.fetch_add(1, Ordering::SeqCst);
        }
        if crowd.len() > OPEN_MAX {
            crowd.drain(..crowd.len() - OPEN_MAX);
        }
        number += 1;
    }
}

/// Opens the connection of one client of the crowd and sends its request.
fn join(front: SocketAddrV4, number: usize, is_spread: bool) -> Option<TcpStream> {
    let [high, low] = (number as u16).to_be_bytes();
    let from = match is_spread {
        true => Ipv4Addr::new(127, 20, high, low),
        false => Ipv4Addr::new(127, 20, 0, 1),
    };
    let mut stream = net::connect_from(from, front, client::CONNECT_TIME).ok()?;
    let request = client::head("GET", "/nowhere/1", &format!("crowd-{number}"), 4_000);
    stream.write_all((request + "\r\n").as_bytes()).ok()?;
    Some(stream)
}

/// Asks once a second whether the host is ready; returns the number of checks, of those
/// that failed, and the longest time.
fn check_ready(ready: SocketAddrV4, until: Instant) -> (usize, usize, Duration) {
    let (mut checks, mut failed, mut longest) = (0, 0, Duration::ZERO);
    while Instant::now() < until {
        let start = Instant::now();
        failed += usize::from(!client::is_ready(ready));
        checks += 1;
        longest = longest.max(start.elapsed());
        thread::sleep(Duration::from_secs(1).saturating_sub(start.elapsed()));
    }
    (checks, failed, longest)
}
