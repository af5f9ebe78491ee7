use core::time;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net as tokio_net;

/// Open connections of one source address, below the bound of a host.
const PER_ADDRESS: usize = 500;
/// Size of the read buffer of a caller in bytes.
const BUFFER: usize = 4096;
/// Request for a whole answer.
const BODY: &str = r#"{"model":"model","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
/// Request for an answer of one token.
const SHORT: &str =
    r#"{"model":"model","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hi"}]}"#;

/// Callers that stream with one connection each.
#[derive(Clone, Default)]
pub struct Callers(sync::Arc<Counts>);

#[derive(Default)]
struct Counts {
    events: atomic::AtomicU64,
    begun: atomic::AtomicU64,
    whole: atomic::AtomicU64,
    failed: atomic::AtomicU64,
}

/// What callers have seen so far.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Events received.
    pub events: u64,
    /// Streams whose first event came.
    pub begun: u64,
    /// Streams that came to their end.
    pub whole: u64,
    /// Streams that were refused or broke off.
    pub failed: u64,
}

impl Callers {
    /// Returns what was seen so far.
    pub fn report(&self) -> Report {
        let read = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        Report {
            events: read(&self.0.events),
            begun: read(&self.0.begun),
            whole: read(&self.0.whole),
            failed: read(&self.0.failed),
        }
    }

    /// Sends a request from the address of caller `number` and reads the
    /// answer. Returns the time to the first event, with that of connecting.
    pub async fn send(&self, to: net::SocketAddr, number: usize) -> Option<time::Duration> {
        let result = self.stream(to, number, BODY).await;
        self.ended(result)
    }

    /// Does the same for an answer of one token.
    pub async fn probe(&self, to: net::SocketAddr, number: usize) -> Option<time::Duration> {
        let result = self.stream(to, number, SHORT).await;
        self.ended(result)
    }

    fn ended(&self, result: io::Result<time::Duration>) -> Option<time::Duration> {
        match result {
            Ok(first) => {
                self.0.whole.fetch_add(1, atomic::Ordering::Relaxed);
                Some(first)
            }
            Err(cause) => {
                log::debug!("testkit: a caller got no whole answer: {cause}");
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
        let source = (number / PER_ADDRESS) as u32 + u32::from(net::Ipv4Addr::LOCALHOST);
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
        let mut buffer = vec![0; BUFFER];
        let mut tail: Vec<u8> = Vec::new();
        loop {
            let length = stream.read(&mut buffer).await?;
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let data = &buffer[..length];
            let events = count(&tail, data);
            if events > 0 && first.is_none() {
                first = Some(start.elapsed());
                self.0.begun.fetch_add(1, atomic::Ordering::Relaxed);
            }
            self.0.events.fetch_add(events, atomic::Ordering::Relaxed);
            tail.extend_from_slice(data);
            tail.drain(..tail.len().saturating_sub(END.len()));
            if tail.ends_with(END) {
                return first.ok_or_else(|| io::ErrorKind::InvalidData.into());
            }
        }
    }
}

/// Last bytes of a chunked body.
const END: &[u8] = b"0\r\n\r\n";

/// Counts the ends of events, of which one may lie across two reads.
fn count(tail: &[u8], data: &[u8]) -> u64 {
    let across = tail.last() == Some(&b'\n') && data.first() == Some(&b'\n');
    let within = data.windows(2).filter(|pair| *pair == b"\n\n").count();
    within as u64 + u64::from(across)
}
