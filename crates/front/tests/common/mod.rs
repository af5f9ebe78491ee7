//! A caller interface in front of a service that tests control.

use core::net;
use core::time;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Bytes of a large answer, more than the buffers of two sockets take.
pub const LARGE_BYTES: usize = 64 * 1024 * 1024;

/// One part of a large answer.
const CHUNK: &[u8] = &[b'x'; 16 * 1024];
/// Bytes of an HTTP/2 answer that a caller takes without reading it.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Service that answers `ok` once its gate is open, and counts what runs.
#[derive(Default)]
pub struct Gate {
    /// Requests that are being served.
    pub running: atomic::AtomicUsize,
    /// Most requests that were served at once.
    pub peak: atomic::AtomicUsize,
    closed: tokio::sync::watch::Sender<bool>,
}

impl Gate {
    /// Makes requests wait, or lets them go on.
    pub fn close(&self, closed: bool) {
        self.closed.send_replace(closed);
    }

    /// Waits until at least this many requests are being served.
    pub async fn wait_for(&self, running: usize) {
        while self.running.load(atomic::Ordering::SeqCst) < running {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }
}

/// A large answer that comes in this many parts.
struct Chunks(usize);

impl http_body::Body for Chunks {
    type Data = bytes::Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: core::pin::Pin<&mut Self>,
        _context: &mut core::task::Context<'_>,
    ) -> core::task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, Self::Error>>> {
        let Some(left) = self.0.checked_sub(1) else {
            return core::task::Poll::Ready(None);
        };
        self.0 = left;
        let frame = http_body::Frame::data(bytes::Bytes::from_static(CHUNK));
        core::task::Poll::Ready(Some(Ok(frame)))
    }
}

impl front::Service for Gate {
    fn serve(&self, request: front::Request) -> front::ServiceFuture<'_> {
        Box::pin(async move {
            let running = self.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
            self.peak.fetch_max(running, atomic::Ordering::SeqCst);
            let mut closed = self.closed.subscribe();
            drop(closed.wait_for(|&closed| !closed).await);
            self.running.fetch_sub(1, atomic::Ordering::SeqCst);
            Ok(front::Response {
                status: http::StatusCode::OK,
                headers: http::HeaderMap::new(),
                body: match request.target {
                    front::Target::Service { path, .. } if path == "/large" => {
                        front::Body::new(Chunks(LARGE_BYTES / CHUNK.len()))
                    }
                    _ => front::Body::from("ok"),
                },
                class: "open".to_owned(),
                queue_time: time::Duration::ZERO,
            })
        })
    }

    fn hosts(&self, _address: net::IpAddr) -> serde_json::Value {
        serde_json::json!({"hosts": []})
    }

    fn models(&self) -> serde_json::Value {
        serde_json::json!({"data": []})
    }
}

/// Options with times short enough for tests.
pub fn options() -> front::Options {
    front::Options {
        body_bytes_max: 64 * 1024,
        header_bytes_max: 4 * 1024,
        idle_timeout: time::Duration::from_millis(200),
        ..front::Options::default()
    }
}

/// Starts a caller interface on a free port.
pub async fn start(options: front::Options, service: sync::Arc<Gate>) -> front::Server {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    front::Server::start(any, options, service)
        .await
        .expect("a port is free")
}

/// Connects to a caller interface.
pub async fn connect(server: &front::Server) -> tokio::net::TcpStream {
    tokio::net::TcpStream::connect(server.address())
        .await
        .expect("the listener accepts")
}

/// Sends bytes and returns all that the other side sends until it closes.
pub async fn exchange(mut stream: impl AsyncRead + AsyncWrite + Unpin, bytes: &[u8]) -> String {
    stream.write_all(bytes).await.expect("the listener reads");
    rest(stream).await
}

/// Returns all that the other side sends until it closes.
pub async fn rest(mut stream: impl AsyncRead + Unpin) -> String {
    let mut answer = Vec::new();
    // A reset after the answer is as good as a close.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until a counter of the listener has this value.
pub async fn until(server: &front::Server, wanted: u64, read: fn(&front::Counters) -> u64) {
    while read(&server.counters()) != wanted {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}

/// Requests over one HTTP/2 connection.
pub type Sender = hyper::client::conn::http2::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Speaks HTTP/2 over a connection.
pub async fn http2<I>(stream: I) -> Sender
where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let executor = hyper_util::rt::TokioExecutor::new();
    let stream = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http2::Builder::new(executor)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .handshake(stream)
        .await
        .expect("speaks HTTP/2");
    tokio::spawn(connection);
    sender
}

/// Sends a request over HTTP/2 and returns the status and the body.
pub async fn send(
    mut sender: Sender,
    request: http::request::Builder,
    body: &'static str,
) -> (u16, String) {
    let request = request.body(http_body_util::Full::from(body));
    let response = sender.send_request(request.expect("valid")).await;
    let response = response.expect("an answer");
    let status = response.status().as_u16();
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    let body = body.expect("a body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}
