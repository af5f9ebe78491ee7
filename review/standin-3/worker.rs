//! Stand-in for a worker. It refuses requests for another worker, records those that it
//! runs, and answers with a body or with a stream of events.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net;
use crate::record;

/// Events of a stream.
const EVENTS: usize = 9;

/// What a worker answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A body of 800 bytes.
    Plain,
    /// A stream of events.
    Stream,
}

/// A request that a worker began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
}

struct State {
    id: String,
    kind: Kind,
    work: Duration,
    slots: u32,
    running: AtomicU32,
    is_leaving: AtomicBool,
    runs: Mutex<Vec<Run>>,
}

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Worker {
    pub fn start(id: &str, kind: Kind, work: Duration, slots: u32) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            address: listener.local_addr()?,
            state: Arc::new(State {
                id: id.to_owned(),
                kind,
                work,
                slots,
                running: AtomicU32::new(0),
                is_leaving: AtomicBool::new(false),
                runs: Mutex::default(),
            }),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    /// Lets all answers say that the worker is leaving.
    pub fn set_leaving(&self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the requests that the worker began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().expect("no thread panics").clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(head)) = net::read_head(&mut stream, &mut rest) {
            let length = net::field(&head, "content-length");
            let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            while rest.len() < length {
                let mut buffer = [0; 16 * 1024];
                match stream.read(&mut buffer) {
                    Ok(count) if count > 0 => rest.extend_from_slice(&buffer[..count]),
                    _ => return,
                }
            }
            rest.drain(..length);
            if self.respond(&mut stream, &head).is_err() {
                return;
            }
        }
    }

    fn respond(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let state = &self.state;
        let is_leaving = state.is_leaving.load(Ordering::SeqCst);
        let leaving = if is_leaving {
            "Server-Leaving: 1\r\nConnection: close\r\n"
        } else {
            ""
        };
        let load = format!(
            "X-Carobbay-Server-Load: {},0,{}\r\n{leaving}",
            state.running.load(Ordering::SeqCst),
            state.slots
        );
        if head.starts_with("GET /health ") {
            let status = if is_leaving { "503 Leaving" } else { "200 OK" };
            let text = format!(
                "HTTP/1.1 {status}\r\nX-Carobbay-Instance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n",
                state.id
            );
            return stream.write_all(text.as_bytes());
        }
        let id = net::field(head, "x-carobbay-request-id").unwrap_or_default();
        let expected = net::field(head, "x-carobbay-expect-instance");
        if expected.is_some_and(|expected| expected != state.id) {
            return stream.write_all(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        }
        let before = state.running.fetch_add(1, Ordering::SeqCst);
        if before >= state.slots {
            state.running.fetch_sub(1, Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 503 Full\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Not-Executed: 1\r\n\
                 {load}Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        let run = Run {
            at: record::now(),
            id: id.to_owned(),
        };
        state.runs.lock().expect("no thread panics").push(run);
        record::line(&format!("worker {}: runs {id}", state.id));
        thread::sleep(state.work);
        state.running.fetch_sub(1, Ordering::SeqCst);
        let (kind, body) = match state.kind {
            Kind::Plain => ("text/plain", "x".repeat(800)),
            Kind::Stream => {
                let event = |number| format!("id: {number}\ndata: piece\n\n");
                ("text/event-stream", (1..=EVENTS).map(event).collect())
            }
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Response-Stamp: {}.{id}\r\n\
             Content-Type: {kind}\r\n{load}Content-Length: {}\r\n\r\n{body}",
            state.id,
            body.len()
        );
        stream.write_all(text.as_bytes())
    }
}
