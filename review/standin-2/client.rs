//! Stand-in of the clients.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Reader};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const TENANT: &str = "huka270";

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// Front address to which it was sent.
    pub host: SocketAddr,
    pub sent: Instant,
    /// Status of the answer; 0 without one.
    pub status: u16,
    /// Whether the answer is complete.
    pub is_whole: bool,
    pub stamp: Option<String>,
    pub body: Vec<u8>,
    pub cause: String,
    pub ended: Instant,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request of the case has.
pub fn new_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// One kind of request.
#[derive(Clone)]
pub struct Kind {
    pub method: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub body: usize,
    /// Further headers, each with its line end; `{id}` stands for the request's id.
    pub headers: String,
}

/// Sends one request on a new connection.
pub fn send(host: SocketAddr, kind: &Kind, id: &str, more: &str) -> Outcome {
    let sent = Instant::now();
    let mut outcome = Outcome {
        id: id.to_owned(),
        host,
        sent,
        status: 0,
        is_whole: false,
        stamp: None,
        body: Vec::new(),
        cause: String::new(),
        ended: sent,
    };
    if let Err(cause) = exchange(host, kind, id, more, &mut outcome) {
        outcome.cause = cause.to_string();
    }
    outcome.ended = Instant::now();
    outcome
}

fn exchange(host: SocketAddr, kind: &Kind, id: &str, more: &str, outcome: &mut Outcome) -> io::Result<()> {
    let mut stream = net::connect(host, kind.deadline)?;
    let body = "x".repeat(kind.body);
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{}{more}Content-Length: {}\r\n\r\n{body}",
        kind.method,
        kind.path,
        kind.deadline.as_millis(),
        kind.headers.replace("{id}", id),
        body.len(),
    );
    outcome.sent = Instant::now();
    stream.write_all(request.as_bytes())?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    outcome.status = head.status();
    outcome.stamp = head.header("X-Carobbay-Response-Stamp").map(str::to_owned);
    if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = reader.chunk()?;
            if chunk.is_empty() {
                break;
            }
            outcome.body.extend(chunk);
        }
    } else {
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        outcome.body = reader.exactly(length.unwrap_or(0))?;
    }
    outcome.is_whole = true;
    Ok(())
}

/// Clients that send requests at a rate until they are stopped.
pub struct Crowd {
    is_stopped: Arc<AtomicBool>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Crowd {
    /// Starts one client for each host and kind; each sends a request every `pause`
    /// without waiting for the answer before.
    pub fn start(hosts: &[SocketAddr], kinds: &[Kind], pause: Duration) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for host in hosts.iter().copied() {
            for kind in kinds.iter().cloned() {
                let (is_stopped, outcomes) = (is_stopped.clone(), outcomes.clone());
                threads.push(thread::spawn(move || {
                    let mut random = net::Random::new(net::wall_ms());
                    let mut open = Vec::new();
                    while !is_stopped.load(Ordering::Relaxed) {
                        let (kind, outcomes) = (kind.clone(), outcomes.clone());
                        open.push(thread::spawn(move || {
                            let outcome = send(host, &kind, &new_id(), "");
                            outcomes.lock().unwrap().push(outcome);
                        }));
                        let jitter = 0.75 + 0.5 * random.below(1_000) as f64 / 1_000.0;
                        thread::sleep(pause.mul_f64(jitter));
                    }
                    for request in open {
                        let _ = request.join();
                    }
                }));
            }
        }
        Self {
            is_stopped,
            outcomes,
            threads,
        }
    }

    /// Stops the clients and returns how their requests ended, in the order of sending.
    pub fn stop(self) -> Vec<Outcome> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut outcomes = std::mem::take(&mut *self.outcomes.lock().unwrap());
        outcomes.sort_by_key(|outcome| outcome.sent);
        outcomes
    }
}
