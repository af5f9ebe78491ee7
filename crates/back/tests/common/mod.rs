//! Endpoints with a chosen faulty behaviour.

use core::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// HTTP/2 connection preface of the client.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Length of an HTTP/2 frame header.
const FRAME_HEADER_BYTES: usize = 9;
/// Type of the HTTP/2 HEADERS frame, which starts a request.
const HEADERS: u8 = 1;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What an endpoint does with each connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Closes it immediately.
    Close,
    /// Reads once and closes it.
    ReadAndClose,
    /// Answers one HTTP/1.1 request, reads the start of the next one and closes it.
    CloseOnSecond,
    /// Answers one HTTP/1.1 request without `connection: close`, yields to other
    /// tasks this many times and closes it.
    CloseAfter(usize),
}

/// Counts of what an endpoint observed.
#[derive(Debug, Default)]
pub struct Observed {
    /// Accepted connections.
    pub connections: atomic::AtomicUsize,
    /// Reads that returned at least one byte of a request.
    pub requests: atomic::AtomicUsize,
}

impl Observed {
    fn record_read(&self, bytes: &[u8]) {
        if has_request(bytes) {
            self.requests.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }
}

/// Reads a counter.
pub fn count(counter: &atomic::AtomicUsize) -> usize {
    counter.load(atomic::Ordering::SeqCst)
}

/// Returns whether the bytes of one read contain a part of a request.
fn has_request(bytes: &[u8]) -> bool {
    let Some(mut frames) = bytes.strip_prefix(PREFACE) else {
        return !bytes.is_empty() && !PREFACE.starts_with(bytes);
    };
    while frames.len() >= FRAME_HEADER_BYTES {
        if frames[3] == HEADERS {
            return true;
        }
        let length = u32::from_be_bytes([0, frames[0], frames[1], frames[2]]) as usize;
        frames = frames
            .get(FRAME_HEADER_BYTES + length..)
            .unwrap_or_default();
    }
    false
}

/// Starts an endpoint and returns its address and counts.
pub async fn start(behaviour: Behaviour) -> (net::SocketAddr, sync::Arc<Observed>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let observed = sync::Arc::<Observed>::default();
    let counts = observed.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counts.connections.fetch_add(1, atomic::Ordering::SeqCst);
            tokio::spawn(serve(stream, behaviour, counts.clone()));
        }
    });
    (address, observed)
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour, observed: sync::Arc<Observed>) {
    let mut bytes = [0; 4096];
    if behaviour == Behaviour::Close {
        return;
    }
    let read = stream.read(&mut bytes).await.unwrap_or(0);
    observed.record_read(&bytes[..read]);
    if behaviour == Behaviour::ReadAndClose {
        return;
    }
    drop(stream.write_all(RESPONSE).await);
    if let Behaviour::CloseAfter(yields) = behaviour {
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        return;
    }
    let read = stream.read(&mut bytes).await.unwrap_or(0);
    observed.record_read(&bytes[..read]);
}

/// Returns an address that refuses connections until the socket is dropped.
pub fn refusing() -> (net::SocketAddr, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    (socket.local_addr().expect("bound"), socket)
}

/// Returns an address that does not complete further connection attempts, with
/// the connections that fill its accept queue.
pub async fn unresponsive() -> (net::SocketAddr, TcpListener, Vec<TcpStream>) {
    let (address, socket) = refusing();
    let listener = socket.listen(1).expect("listens");
    let mut queued = Vec::new();
    let timeout = core::time::Duration::from_millis(100);
    while let Ok(connected) = tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        queued.push(connected.expect("queued"));
    }
    (address, listener, queued)
}

/// Returns a request with a small body.
pub fn request(address: net::SocketAddr) -> http::Request<http_body_util::Full<Bytes>> {
    http::Request::post(format!("http://{address}/confirm"))
        .body(http_body_util::Full::from("booking"))
        .expect("valid")
}
