//! Requests of clients.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

use crate::setup;

/// Time that clients allow a connection to be established.
pub const CONNECT_TIME: Duration = Duration::from_secs(1);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// An answer with this status.
    Status(u16),
    /// The connection was refused, or closed without an answer.
    Closed,
    /// Nothing within the time that the client waits.
    Nothing,
}

/// Sends a request on a new connection and waits for the end of its answer.
pub fn call(address: SocketAddrV4, request: &[u8], patience: Duration) -> End {
    let until = Instant::now() + patience;
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT_TIME) else {
        return End::Closed;
    };
    if stream.write_all(request).is_err() {
        return End::Closed;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return End::Nothing;
        }
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => return End::Nothing,
            Err(_) => break,
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.map_or(End::Closed, End::Status)
}

/// Returns the head of a request without its end.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    head_with_key(method, path, id, deadline_ms, setup::KEY)
}

/// Returns the head of a request with this key, without its end.
pub fn head_with_key(method: &str, path: &str, id: &str, deadline_ms: u64, key: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Carobbay-Request-Id: {id}\r\n\
         X-Carobbay-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n",
        setup::HOST
    )
}

/// Asks whether a host is ready, as the platform does.
pub fn is_ready(address: SocketAddrV4) -> bool {
    let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    call(address, request, Duration::from_secs(1)) == End::Status(200)
}
