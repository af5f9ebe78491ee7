//! Endpoints that behave badly in one chosen way.

use core::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// First bytes of an HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Length of the head of an HTTP/2 frame in bytes.
const FRAME_HEAD: usize = 9;
/// Type of an HTTP/2 frame that starts a request.
const HEADERS: u8 = 1;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What an endpoint does with each connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Closes it at once.
    Closes,
    /// Reads what comes first and closes it.
    ReadsAndCloses,
    /// Answers one HTTP/1.1 request, reads the start of the next one and closes it.
    ClosesOnSecond,
    /// Answers one HTTP/1.1 request and closes it after this many steps of
    /// other tasks, without a sign in the answer.
    ClosesAfter(usize),
}

/// What an endpoint saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Connections that were accepted.
    pub connections: atomic::AtomicUsize,
    /// Connections on which something of a request arrived, counted once for
    /// each read.
    pub requests: atomic::AtomicUsize,
}

impl Seen {
    fn read(&self, bytes: &[u8]) {
        if has_request(bytes) {
            self.requests.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }
}

/// Reads a counter.
pub fn count(counter: &atomic::AtomicUsize) -> usize {
    counter.load(atomic::Ordering::SeqCst)
}

/// Returns whether a byte of a request is among the first bytes of a connection.
fn has_request(bytes: &[u8]) -> bool {
    let Some(mut frames) = bytes.strip_prefix(PREFACE) else {
        return !bytes.is_empty() && !PREFACE.starts_with(bytes);
    };
    while frames.len() >= FRAME_HEAD {
        if frames[3] == HEADERS {
            return true;
        }
        let length = u32::from_be_bytes([0, frames[0], frames[1], frames[2]]) as usize;
        frames = frames.get(FRAME_HEAD + length..).unwrap_or_default();
    }
    false
}

/// Starts an endpoint.
pub async fn start(manner: Manner) -> (net::SocketAddr, sync::Arc<Seen>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let seen = sync::Arc::<Seen>::default();
    let noted = seen.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            noted.connections.fetch_add(1, atomic::Ordering::SeqCst);
            tokio::spawn(behave(stream, manner, noted.clone()));
        }
    });
    (address, seen)
}

async fn behave(mut stream: TcpStream, manner: Manner, seen: sync::Arc<Seen>) {
    let mut bytes = [0; 4096];
    if manner == Manner::Closes {
        return;
    }
    let read = stream.read(&mut bytes).await.unwrap_or(0);
    seen.read(&bytes[..read]);
    if manner == Manner::ReadsAndCloses {
        return;
    }
    drop(stream.write_all(ANSWER).await);
    if let Manner::ClosesAfter(steps) = manner {
        for _ in 0..steps {
            tokio::task::yield_now().await;
        }
        return;
    }
    let read = stream.read(&mut bytes).await.unwrap_or(0);
    seen.read(&bytes[..read]);
}

/// Returns an address that refuses connections as long as the socket lives.
pub fn refusing() -> (net::SocketAddr, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    (socket.local_addr().expect("bound"), socket)
}

/// Returns an address that does not answer a connect, with what fills its queue.
pub async fn unresponsive() -> (net::SocketAddr, TcpListener, Vec<TcpStream>) {
    let (address, socket) = refusing();
    let listener = socket.listen(1).expect("listens");
    let mut held = Vec::new();
    let patience = core::time::Duration::from_millis(100);
    while let Ok(connected) = tokio::time::timeout(patience, TcpStream::connect(address)).await {
        held.push(connected.expect("queued"));
    }
    (address, listener, held)
}

/// Returns a request with a small body.
pub fn request(address: net::SocketAddr) -> http::Request<http_body_util::Full<Bytes>> {
    http::Request::post(format!("http://{address}/confirm"))
        .body(http_body_util::Full::from("booking"))
        .expect("valid")
}
