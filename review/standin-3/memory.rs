//! Requests that are legal in size, made of very many short fields, and stop just short of
//! the end of their bodies. The platform ends a process that exceeds its memory and starts
//! it again.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::host::Host;
use crate::net;
use crate::record;
use crate::setup;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Error, Verdict};

/// Connections to each host at the same time; a host of 2,870 descriptors takes 1,335.
const CONNECTIONS: usize = 1_300;

/// Threads that open them.
const OPENERS: usize = 8;

/// Pause of an opener before each connection.
const PAUSE: Duration = Duration::from_millis(8);

/// Short fields of a request, besides those that it needs.
const FIELDS: usize = 95;

/// Bytes of a body that are sent; one more is declared.
const BODY_BYTES: usize = 9_000;

/// Times that the crowd comes to each host.
const TIMES: usize = 3;

/// Time for which a crowd stays.
const STAY: Duration = Duration::from_secs(4);

/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

/// Hosts and processes that end by themselves from which the rule is broken: two machines,
/// three times.
const HOSTS: usize = 2;

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
    let ips: Vec<Ipv4Addr> = (1..=HOSTS as u8)
        .map(|number| Ipv4Addr::new(127, 0, 74, number))
        .collect();
    let first = Host::ports(ips[0])?;
    let seeds = [format!("{}:{}", ips[0], first + 2).parse()?];
    let mut ends = Vec::new();
    for (number, ip) in ips.iter().enumerate() {
        let name = format!("front-brescia-{}", number + 1);
        let mut host = Host::start(&setup::GANCI, &name, *ip, first, store.address, &seeds)?;
        host.wait_until_ready()?;
        let mut ended = 0;
        for time in 1..=TIMES {
            record::line(&format!(
                "host {name}: {} bytes before the crowd",
                host.memory_bytes().unwrap_or(0)
            ));
            ended += usize::from(meet_crowd(&mut host, has_trouble, time)?);
        }
        record::line(&format!("host {name}: ended {ended} times over its memory"));
        ends.push(ended);
    }
    let over = ends.iter().filter(|ended| **ended >= TIMES).count();
    Ok(if over >= HOSTS {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Lets the crowd come to a host once, beside bookings. Returns whether the process
/// exceeded its memory; it was started again then.
fn meet_crowd(host: &mut Host, has_trouble: bool, time: usize) -> Result<bool, Error> {
    let front = host.front();
    let is_over = Arc::new(AtomicBool::new(false));
    let over = is_over.clone();
    let crowd = thread::spawn(move || {
        let mut crowd = Vec::new();
        if has_trouble {
            let openers = (0..OPENERS).map(|opener| {
                let over = over.clone();
                thread::spawn(move || open(front, opener, &over))
            });
            let openers: Vec<_> = openers.collect();
            let opened = openers.into_iter().filter_map(|opener| opener.join().ok());
            crowd.extend(opened.flatten());
            record::line(&format!("crowd: {} connections opened", crowd.len()));
        }
        let until = Instant::now() + STAY;
        while Instant::now() < until && !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        drop(crowd);
    });
    let over = is_over.clone();
    let bookings = thread::spawn(move || book(front, time, &over));
    let mut peak = 0;
    while !crowd.is_finished() {
        let bytes = host.memory_bytes().unwrap_or(0);
        peak = peak.max(bytes);
        if bytes > setup::MEMORY_BYTES {
            record::line(&format!(
                "platform: host {} has {bytes} bytes, its machine {}; the process is killed",
                host.name,
                setup::MEMORY_BYTES
            ));
            host.end();
            is_over.store(true, Ordering::SeqCst);
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    drop(crowd.join());
    is_over.store(true, Ordering::SeqCst);
    drop(bookings.join());
    record::line(&format!("host {}: peak {peak} bytes", host.name));
    let was_over = peak > setup::MEMORY_BYTES;
    if was_over {
        thread::sleep(RESTART);
        host.restart()?;
    }
    host.wait_until_ready()?;
    Ok(was_over)
}

/// Opens every connection of the crowd whose turn is that of this opener.
fn open(front: SocketAddrV4, opener: usize, is_over: &AtomicBool) -> Vec<TcpStream> {
    let numbers = (opener..CONNECTIONS).step_by(OPENERS);
    let numbers = numbers.take_while(|_| !is_over.load(Ordering::SeqCst));
    let paced = numbers.inspect(|_| thread::sleep(PAUSE));
    paced.filter_map(|number| join(front, number)).collect()
}

/// Opens a connection and sends a request but for the last byte of its body.
fn join(front: SocketAddrV4, number: usize) -> Option<TcpStream> {
    let [high, low] = (number as u16).to_be_bytes();
    let from = Ipv4Addr::new(127, 20, high, low);
    let mut stream = net::connect_from(from, front, client::CONNECT_TIME).ok()?;
    let mut request = client::head("POST", "/stock/1", &format!("crowd-{number}"), 4_000);
    for field in 0..FIELDS {
        request += &format!("a{field}: b\r\n");
    }
    request += &format!("Content-Length: {}\r\n\r\n", BODY_BYTES + 1);
    request += &"x".repeat(BODY_BYTES);
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Sends bookings one after the other until the crowd has gone.
fn book(front: SocketAddrV4, time: usize, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("order-{time}-{number}");
        let head = client::head("POST", "/order/1", &id, 4_000);
        let request = head + "Connection: close\r\nContent-Length: 3\r\n\r\nabc";
        let end = client::call(front, request.as_bytes(), Duration::from_secs(4));
        record::line(&format!("client: {id} {end:?}"));
        thread::sleep(Duration::from_millis(50));
    }
}
