use core::time;
use std::io;
use std::net;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net as tokio_net;

/// Maximum size of a request in bytes.
const REQUEST_MAX_BYTES: usize = 64 * 1024;
/// Server-sent event with one token; each event is sent in a separate chunk.
const EVENT: &str = "data: {\"id\":\"c-1\",\"object\":\"chat.completion.chunk\",\"choices\":\
    [{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n";
/// Part of a request body that marks a request for one token.
const SHORT_REQUEST: &[u8] = b"\"max_tokens\":1,";
const DONE: &str = "data: [DONE]\n\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n";

/// Endpoints that stream tokens at a constant rate and use little processor time.
pub struct Source(Vec<net::SocketAddr>);

#[derive(Clone, Copy)]
struct Pace {
    tokens: u32,
    gap: time::Duration,
}

impl Source {
    /// Starts `count` endpoints that answer each request with `tokens` tokens, `gap` apart.
    /// With a zero gap they send as fast as the receiver reads.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub async fn start(count: usize, tokens: u32, gap: time::Duration) -> io::Result<Self> {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let any = (net::Ipv4Addr::LOCALHOST, 0);
            let listener = tokio_net::TcpListener::bind(any).await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept(listener, Pace { tokens, gap }));
        }
        Ok(Self(addresses))
    }

    /// Returns the addresses of the endpoints.
    pub fn addresses(&self) -> &[net::SocketAddr] {
        &self.0
    }
}

async fn accept(listener: tokio_net::TcpListener, pace: Pace) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            if let Err(cause) = serve(stream, pace).await {
                log::debug!("testkit: a connection ended: {cause}");
            }
        });
    }
}

async fn serve(mut stream: tokio_net::TcpStream, pace: Pace) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Vec::new();
    loop {
        let Some(length) = read_request(&mut stream, &mut input).await? else {
            return Ok(());
        };
        let is_load = input.starts_with(b"GET");
        let head = &input[..length];
        let is_short = head
            .windows(SHORT_REQUEST.len())
            .any(|part| part == SHORT_REQUEST);
        input.drain(..length);
        if is_load {
            let load = r#"{"running":0,"waiting":0,"slots":100000,"draining":false,"at_ms":0}"#;
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
            let answer = format!("{head} {}\r\n\r\n{load}", load.len());
            stream.write_all(answer.as_bytes()).await?;
        } else {
            let tokens = if is_short { 1 } else { pace.tokens };
            send_answer(&mut stream, Pace { tokens, ..pace }).await?;
        }
    }
}

/// Reads until `input` contains a complete request and returns its length in bytes, or
/// `None` at the end of the stream.
async fn read_request(
    stream: &mut tokio_net::TcpStream,
    input: &mut Vec<u8>,
) -> io::Result<Option<usize>> {
    loop {
        if let Some(length) = request_length(input)
            && input.len() >= length
        {
            return Ok(Some(length));
        }
        if input.len() > REQUEST_MAX_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
}

fn request_length(input: &[u8]) -> Option<usize> {
    let end = input.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
    let body = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|value| value.trim().parse::<usize>().ok());
    Some(end + body.unwrap_or(0))
}

async fn send_answer(stream: &mut tokio_net::TcpStream, pace: Pace) -> io::Result<()> {
    let event = chunk(EVENT);
    let first = format!("{HEAD}{event}");
    stream.write_all(first.as_bytes()).await?;
    for _ in 1..pace.tokens {
        if !pace.gap.is_zero() {
            tokio::time::sleep(pace.gap).await;
        }
        stream.write_all(event.as_bytes()).await?;
    }
    let last = format!("{}0\r\n\r\n", chunk(DONE));
    stream.write_all(last.as_bytes()).await
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
