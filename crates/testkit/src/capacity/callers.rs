use core::time;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net as tokio_net;

/// Maximum number of open connections per source address, below the limit of a host.
const CONNECTIONS_PER_ADDRESS: usize = 500;
/// Size of a caller's read buffer in bytes.
const BUFFER_BYTES: usize = 4096;
/// Request body for an answer of full length.
const BODY: &str = r#"{"model":"model","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
/// Request body for an answer of one token.
const SHORT_BODY: &str =
    r#"{"model":"model","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hi"}]}"#;

/// Group of callers, each of which streams one answer on its own connection. Clones share
/// their counts.
#[derive(Clone, Default)]
pub struct Callers(sync::Arc<Counts>);

#[derive(Default)]
struct Counts {
    events: atomic::AtomicU64,
    begun: atomic::AtomicU64,
    whole: atomic::AtomicU64,
    failed: atomic::AtomicU64,
}

/// Counts of a group of callers since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Events received.
    pub events: u64,
    /// Streams whose first event was received.
    pub begun: u64,
    /// Streams that were received in full.
    pub whole: u64,
    /// Streams that were refused or interrupted.
    pub failed: u64,
}

impl Callers {
    /// Returns the current counts.
    pub fn report(&self) -> Report {
        let read = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        Report {
            events: read(&self.0.events),
            begun: read(&self.0.begun),
            whole: read(&self.0.whole),
            failed: read(&self.0.failed),
        }
    }

    /// Sends a request from the source address of caller `number` and receives the stream.
    /// Returns the time to the first event, including the time to connect, or `None` if the
    /// stream failed.
    pub async fn send(&self, to: net::SocketAddr, number: usize) -> Option<time::Duration> {
        let result = self.stream(to, number, BODY).await;
        self.count_result(result)
    }

    /// Like [`Callers::send`], but requests an answer of one token.
    pub async fn probe(&self, to: net::SocketAddr, number: usize) -> Option<time::Duration> {
        let result = self.stream(to, number, SHORT_BODY).await;
        self.count_result(result)
    }

    fn count_result(&self, result: io::Result<time::Duration>) -> Option<time::Duration> {
        match result {
            Ok(first) => {
                self.0.whole.fetch_add(1, atomic::Ordering::Relaxed);
                Some(first)
            }
            Err(cause) => {
                log::debug!("testkit: a stream was not received in full: {cause}");
                self.0.failed.fetch_add(1, atomic::Ordering::Relaxed);
                None
            }
        }
    }

    async fn stream(
        &self,
        to: net::SocketAddr,
        number: usize,
        body: &str,
    ) -> io::Result<time::Duration> {
        let socket = tokio_net::TcpSocket::new_v4()?;
        let source =
            (number / CONNECTIONS_PER_ADDRESS) as u32 + u32::from(net::Ipv4Addr::LOCALHOST);
        socket.bind((net::Ipv4Addr::from(source), 0).into())?;
        let start = std::time::Instant::now();
        let mut stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        let mut first = None;
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut tail: Vec<u8> = Vec::new();
        loop {
            let length = stream.read(&mut buffer).await?;
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let data = &buffer[..length];
            let events = count_events(&tail, data);
            if events > 0 && first.is_none() {
                first = Some(start.elapsed());
                self.0.begun.fetch_add(1, atomic::Ordering::Relaxed);
            }
            self.0.events.fetch_add(events, atomic::Ordering::Relaxed);
            tail.extend_from_slice(data);
            tail.drain(..tail.len().saturating_sub(BODY_END.len()));
            if tail.ends_with(BODY_END) {
                return first.ok_or_else(|| io::ErrorKind::InvalidData.into());
            }
        }
    }
}

/// Last bytes of a body with chunked transfer encoding.
const BODY_END: &[u8] = b"0\r\n\r\n";

/// Counts the events that end in `data`. The end of an event may be split across two reads,
/// so `tail` contains the last bytes before `data`.
fn count_events(tail: &[u8], data: &[u8]) -> u64 {
    let across = tail.last() == Some(&b'\n') && data.first() == Some(&b'\n');
    let within = data.windows(2).filter(|pair| *pair == b"\n\n").count();
    within as u64 + u64::from(across)
}
