//! A crowd of clients, each at an address of its own, sends heads very slowly and comes
//! back when its connection is closed. Ordinary callers call beside it.

mod common;

use common::{Connection, Record, Stop, Store, Worker};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of the crowd at the front, and as many further ones at the port that says ready
/// and at the directory.
struct Size {
    front: u32,
    elsewhere: u32,
}

/// Ordinary callers; half of them keep their connections, half open one for each call.
const CALLERS: usize = 20;

const TIMEOUT_MS: u64 = 2_000;

/// When ordinary callers give up.
const DEADLINE_MS: u64 = 4_000;

/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(20);

#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: u32,
    zero: [u8; 8],
}

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const Address, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_NONBLOCK: i32 = 0o4000;
const RLIMIT_NOFILE: i32 = 7;

fn address(ip: Ipv4Addr, port: u16) -> Address {
    Address {
        family: AF_INET as u16,
        port: port.to_be(),
        ip: u32::from_ne_bytes(ip.octets()),
        zero: [0; 8],
    }
}

/// Lets this process and its children open as many files as the hard limit allows.
fn raise_files() -> u64 {
    let mut limit = Limit { soft: 0, hard: 0 };
    // SAFETY: the pointers are valid for the calls, and the layout is that of Linux.
    unsafe {
        getrlimit(RLIMIT_NOFILE, &mut limit);
        limit.soft = limit.hard;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    limit.hard
}

/// Begins to connect from a loopback address of the client's own.
fn connect_from(number: u32, to: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(to) = to else { return None };
    let own = Ipv4Addr::new(127, 20 + (number / 50_000) as u8, (number / 250 % 200) as u8, (number % 250 + 1) as u8);
    // SAFETY: the pointers are valid for the calls; the descriptor is owned by the stream.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if bind(descriptor, &address(own, 0), 16) != 0 {
            return None;
        }
        connect(descriptor, &address(*to.ip(), to.port()), 16);
        Some(stream)
    }
}

/// A client of the crowd.
struct Slow {
    stream: Option<TcpStream>,
    sent: usize,
    next: Instant,
}

/// Sends a byte of a head a second; connects again a second after the connection ended.
/// Returns how often the crowd connected.
fn crowd(size: &Size, [front, ready, directory]: [SocketAddr; 3], stop: &Stop) -> u64 {
    let head = "GET /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Note: very slow\r\n".as_bytes();
    let start = Instant::now();
    let mut clients: Vec<Slow> = (0..size.front + 2 * size.elsewhere)
        .map(|number| Slow {
            stream: None,
            sent: 0,
            // They come within six seconds.
            next: start + Duration::from_millis(u64::from(number)),
        })
        .collect();
    let mut connects = 0;
    while !stop.is_set() {
        let now = Instant::now();
        for (number, client) in clients.iter_mut().enumerate() {
            if now < client.next {
                continue;
            }
            client.next = now + Duration::from_secs(1);
            match &mut client.stream {
                None => {
                    let to = match number as u32 {
                        number if number < size.front => front,
                        number if number < size.front + size.elsewhere => ready,
                        _ => directory,
                    };
                    client.stream = connect_from(number as u32, to);
                    client.sent = 0;
                    connects += 1;
                }
                Some(stream) => {
                    let byte = head[client.sent % head.len()];
                    match stream.write(&[byte]) {
                        Ok(_) => client.sent += 1,
                        Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(cause) if cause.kind() == std::io::ErrorKind::NotConnected => {}
                        Err(_) => client.stream = None,
                    }
                }
            }
        }
        thread::sleep(common::ms(5));
    }
    connects
}

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-book","host":"desk.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":{TIMEOUT_MS},"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":400,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"press","apiKeys":["key-of-press"],"priority":1}}]}}"#
    )
}

/// Opens a connection, for which callers allow a second, as for `DEADLINE_MS` an answer.
fn open(front: SocketAddr) -> Option<Connection> {
    let connection = Connection::open(front, common::ms(1_000)).ok()?;
    let deadline = Some(common::ms(DEADLINE_MS));
    connection.stream.set_read_timeout(deadline).ok()?;
    Some(connection)
}

/// A call of an ordinary caller: when it was sent, how long its answer took, if it came,
/// and its status.
type Call = (Duration, Option<Duration>, u16);

fn caller(index: usize, front: SocketAddr, record: &Record, stop: &Stop, calls: &Mutex<Vec<Call>>) {
    let mut kept: Option<Connection> = None;
    let mut number = 0;
    while !stop.is_set() {
        number += 1;
        let text = format!(
            "POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nX-Carobbay-Request-Id: o{index}-{number}\r\nX-Carobbay-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-of-press\r\nContent-Length: 4\r\n\r\nbook"
        );
        let Some(mut connection) = kept
            .take()
            .or_else(|| open(front))
        else {
            record.add(format!("caller {index}: no connection"));
            thread::sleep(common::ms(100));
            continue;
        };
        let (at, start) = (record.now(), Instant::now());
        let answer = connection.write(&text).and_then(|()| connection.read());
        let took = start.elapsed();
        let status = answer.as_ref().map_or(0, common::Message::status);
        record.add(format!(
            "call o{index}-{number} sent at {:.3}: status {status} after {} ms",
            at.as_secs_f64(),
            took.as_millis()
        ));
        calls.lock().unwrap().push((at, (status != 0).then_some(took), status));
        if status == 200 && index % 2 == 0 {
            kept = Some(connection);
        }
        thread::sleep(common::ms(100));
    }
}

fn main() {
    let record = Record::new();
    let folder = common::folder("crowd");
    let trouble = common::has_trouble();
    // With MACHINE=small a machine of the site `ganci-alpini`, else the largest one of
    // `ganci-alpini-grown`.
    let is_small = std::env::var("MACHINE").is_ok_and(|value| value == "small");
    let size = match is_small {
        true => Size { front: 4_000, elsewhere: 200 },
        false => Size { front: 6_000, elsewhere: 0 },
    };
    if raise_files() < u64::from(size.front) + 800 {
        eprintln!("this process may not open enough files");
        std::process::exit(2);
    }
    let store = Store::start();
    let ledger = common::Ledger::default();
    let workers = ["i-desk-1", "i-desk-2"].map(|id| Worker::start(id, &record, &ledger));
    for worker in &workers {
        let key = format!("servers/{}", worker.id);
        store.put(&key, &worker.entry("desk", "ready", 1));
    }
    store.put("op/config", &config());
    let mut layouts = common::layouts(1);
    if !is_small {
        layouts[0].bounds = common::BOUNDS_GROWN;
        (layouts[0].cpu_share, layouts[0].memory_mb) = (0.5, 512);
        (layouts[0].link_mbps, layouts[0].files) = (200, 8_192);
    }
    let mut hosts = common::start_fleet(layouts, &store, &folder);
    let front = hosts[0].layout.front;
    record.say("the host is ready".to_owned());

    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let stop = Stop::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (record, stop, calls) = (record.clone(), stop.clone(), calls.clone());
            thread::spawn(move || caller(index, front, &record, &stop, &calls))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let leave = Stop::default();
    let crowding = trouble.then(|| {
        let leave = leave.clone();
        record.say(format!("a crowd of {} clients comes", size.front + 2 * size.elsewhere));
        let layout = &hosts[0].layout;
        let doors = [front, layout.ready, layout.directory];
        thread::spawn(move || crowd(&size, doors, &leave))
    });
    let (mut checks, mut unready) = (0, 0);
    let until = Instant::now() + STAY;
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(1));
        let asked = Instant::now();
        let is_ready = hosts[0].is_ready();
        checks += 1;
        unready += u32::from(!is_ready);
        record.add(format!("/ready: {is_ready} after {} ms", asked.elapsed().as_millis()));
    }
    leave.set();
    if let Some(crowding) = crowding {
        let connects = crowding.join().unwrap_or(0);
        record.say(format!("the crowd leaves; it connected {connects} times"));
    }
    stop.set();
    for caller in callers {
        let _ = caller.join();
    }
    let has_ended = hosts[0].has_ended();
    drop(hosts);

    let calls = calls.lock().unwrap().clone();
    let is_over = |limit: u64| {
        let limit = common::ms(limit);
        calls.iter().filter(|(_, took, _)| took.is_none_or(|took| took > limit)).count()
    };
    let (open, late) = (is_over(TIMEOUT_MS), is_over(TIMEOUT_MS + 500));
    let served = calls.iter().filter(|(_, _, status)| *status == 200).count();
    record.say(format!(
        "{} ordinary calls, {served} served; {open} unanswered at timeoutMs, {late} of these half a second later; the process has ended: {has_ended}",
        calls.len()
    ));
    record.say(format!("{unready} of {checks} readiness checks had no 200 within a second"));
    let is_broken = has_ended || (open >= 8 && late * 2 > open);
    record.write(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(match (is_broken, served > 0) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    });
}
