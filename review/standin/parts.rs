//! One part of a prompt crashes each worker that begins to write an answer on it. The
//! prompts are long conversations, with more shared parts than a host keeps of one.

mod common;

use common::{Connection, Record, Stop, Store};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: u8 = 3;
const WORKERS: u64 = 9;
const STABLE_MS: u64 = 3_000;

/// How long a worker is away after a crash.
const AWAY: Duration = Duration::from_secs(3);

/// Time between two requests with the part that crashes workers.
const EVERY: Duration = Duration::from_millis(800);

/// How long they come.
const TROUBLE: Duration = Duration::from_secs(24);

/// The part that crashes workers.
const POISON: &str = "bad0bad0";

/// Most requests with the part that may reach workers from `stableWindowMs` after the fifth
/// crash on.
const LATE_MAX: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-chat","host":"desk.example","prefix":"/chat/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":500,"gapAimMs":200,"priority":0,"service":"pool","maxAttempts":1,"public":false,"sticky":true,"resumable":false}],"services":[{"name":"pool","healthPath":"/health","maxConns":700,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":271071,"kvTokenBytes":18432,"stride":6,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"press","apiKeys":["key-of-press"],"priority":1}]}"#;

/// Arrival of a request at a worker.
#[derive(Clone)]
struct Arrival {
    at: Duration,
    worker: u64,
    id: String,
    is_poison: bool,
    is_crash: bool,
}

#[derive(Clone)]
struct Engine {
    number: u64,
    address: SocketAddr,
    record: Record,
    store: Store,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_down: Arc<AtomicBool>,
    born: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    fn id(&self) -> String {
        format!("i-engine-{}", self.number)
    }

    /// Writes the entry of this start.
    fn publish(&self) {
        let entry = format!(
            r#"{{"service":"pool","address":"{}","zone":"z-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"born":{},"seq":1}}"#,
            self.address,
            1_700_000_000_000 + self.born.load(Ordering::Relaxed)
        );
        self.store.put(&format!("servers/{}", self.id()), &entry);
    }

    /// Serves until the process of the test ends; after a crash it is away for a while.
    fn run(self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let bound = listener.take().or_else(|| TcpListener::bind(self.address).ok());
            let Some(bound) = bound else {
                thread::sleep(common::ms(20));
                continue;
            };
            bound.set_nonblocking(true).expect("a listener");
            self.is_down.store(false, Ordering::Relaxed);
            self.publish();
            while !self.is_down.load(Ordering::Relaxed) {
                match bound.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a connection");
                        if let Ok(copy) = stream.try_clone() {
                            self.open.lock().unwrap().push(copy);
                        }
                        let engine = self.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => thread::sleep(common::ms(1)),
                }
            }
            drop(bound);
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            thread::sleep(AWAY);
            self.born.fetch_add(AWAY.as_millis() as u64, Ordering::Relaxed);
        }
    }

    fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let id = request.field("x-carobbay-request-id").unwrap_or("").to_owned();
            let expected = request.field("x-carobbay-expect-instance");
            if expected.is_some_and(|expected| expected != self.id()) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Carobbay-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id()
                );
                if connection.write(&text).is_err() {
                    return;
                }
                continue;
            }
            let prompt = request.field("x-carobbay-prefix-hash").unwrap_or("");
            let is_poison = prompt.split(',').any(|part| part.starts_with(POISON));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Response-Stamp: {}.1\r\nX-Carobbay-Server-Load: 1,0,64,100\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id()
            );
            let is_crash = is_poison;
            self.arrivals.lock().unwrap().push(Arrival {
                at: self.record.now(),
                worker: self.number,
                id,
                is_poison,
                is_crash,
            });
            if connection.write(&head).is_err() {
                return;
            }
            let events = if is_poison { 1 } else { 8 };
            for number in 1..=events {
                let event = format!("id: {number}\ndata: piece\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if connection.write(&chunk).is_err() {
                    return;
                }
                thread::sleep(common::ms(60));
            }
            if is_poison {
                self.is_down.store(true, Ordering::Relaxed);
                return;
            }
            if connection.stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

/// Returns a prompt: parts that others share, in order, and one of its own.
fn prompt(number: u64, shared: u64, is_poison: bool) -> String {
    // The first part is that of the system; the second one is the part in question, or one of
    // a few sound ones; then the turns of a conversation, which sound requests share.
    let second = match is_poison {
        true => format!("{POISON}:200"),
        false => format!("5a0{:05x}:200", number % 4),
    };
    let turns = (2..shared).map(|turn| format!(",7{turn:02x}{:05x}:60", (number / 2) % 5));
    format!("c0ffee00:800,{second}{},a{number:07x}:100", turns.collect::<String>())
}

fn ask(front: SocketAddr, id: &str, prompt: &str) -> (u16, bool) {
    let text = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Deadline-Ms: 8000\r\nX-Carobbay-Model: m\r\nX-Carobbay-Token-Counts: 1700,48\r\nX-Carobbay-Prefix-Hash: {prompt}\r\nAuthorization: Bearer key-of-press\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    );
    let Ok(mut connection) = Connection::open(front, Duration::from_secs(9)) else {
        return (0, false);
    };
    if connection.write(&text).is_err() {
        return (0, false);
    }
    let Ok(head) = connection.read_head() else {
        return (0, false);
    };
    if head.status() != 200 {
        return (head.status(), false);
    }
    let mut last = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        use std::io::Read;
        match connection.stream.read(&mut bytes) {
            Ok(0) | Err(_) => return (200, last.ends_with(b"0\r\n\r\n")),
            Ok(count) => last.extend_from_slice(&bytes[..count]),
        }
        if last.ends_with(b"\r\n0\r\n\r\n") || last == b"0\r\n\r\n" {
            return (200, true);
        }
    }
}

fn main() {
    let record = Record::new();
    let folder = common::folder("parts");
    let trouble = common::has_trouble();
    // Shared parts of a prompt; fewer show that hosts find the part then.
    let shared = std::env::var("SHARED").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for number in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let engine = Engine {
            number,
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            store: store.clone(),
            arrivals: arrivals.clone(),
            is_down: Arc::default(),
            born: Arc::new(AtomicU64::new(number)),
            open: Arc::default(),
        };
        thread::spawn(move || engine.run(listener));
    }
    thread::sleep(common::ms(200));
    store.put("op/config", CONFIG);
    let hosts = common::start_hosts(HOSTS, &store, &folder);
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.layout.front).collect();
    record.say(format!("{HOSTS} hosts are ready; prompts have {shared} shared parts"));
    thread::sleep(Duration::from_secs(3));

    // Sound requests all the time.
    let stop = Stop::default();
    let sound: Arc<Mutex<(usize, usize)>> = Arc::default();
    let callers: Vec<_> = (0..6u64)
        .map(|index| {
            let (stop, fronts, sound) = (stop.clone(), fronts.clone(), sound.clone());
            thread::spawn(move || {
                let mut number = index;
                while !stop.is_set() {
                    number += 6;
                    let front = fronts[(number % u64::from(HOSTS)) as usize];
                    let id = format!("s{number}");
                    let (_, is_whole) = ask(front, &id, &prompt(number, shared, false));
                    let mut sound = sound.lock().unwrap();
                    sound.0 += 1;
                    sound.1 += usize::from(is_whole);
                    drop(sound);
                    thread::sleep(common::ms(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    let mut sent = 0;
    if trouble {
        record.say(format!("requests with the part {POISON} come"));
    }
    let until = Instant::now() + TROUBLE;
    let mut askers = Vec::new();
    while Instant::now() < until {
        if trouble {
            let front = fronts[(sent % u64::from(HOSTS)) as usize];
            let (id, prompt) = (format!("p{sent}"), prompt(sent + 1_000, shared, true));
            let record = record.clone();
            askers.push(thread::spawn(move || {
                let at = record.now();
                let (status, _) = ask(front, &id, &prompt);
                record.add(format!("request {id} with the part, sent at {:.3}: status {status}", at.as_secs_f64()));
            }));
            sent += 1;
        }
        thread::sleep(EVERY);
    }
    for asker in askers {
        let _ = asker.join();
    }
    stop.set();
    for caller in callers {
        let _ = caller.join();
    }
    drop(hosts);

    let mut arrivals = arrivals.lock().unwrap().clone();
    arrivals.sort_by_key(|arrival| arrival.at);
    for arrival in arrivals.iter().filter(|arrival| arrival.is_poison) {
        record.add(format!("{} reaches worker {} at {:.3}", arrival.id, arrival.worker, arrival.at.as_secs_f64()));
    }
    let crashes: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.is_crash).collect();
    let late = crashes.get(4).map_or(0, |fifth| {
        let from = fifth.at + common::ms(STABLE_MS);
        arrivals.iter().filter(|arrival| arrival.is_poison && arrival.at > from).count()
    });
    let (all, whole) = *sound.lock().unwrap();
    record.say(format!("{sent} requests with the part, {} reached workers and crashed them", crashes.len()));
    record.say(format!("{late} reached workers later than stableWindowMs after the fifth crash; {LATE_MAX} may"));
    record.say(format!("{all} sound requests, {} not served whole", all - whole));
    record.write(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(match (late > LATE_MAX, whole > 0) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    });
}
