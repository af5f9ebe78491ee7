//! HTTP/1.1 over blocking sockets, base64 and random numbers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads from a connection, with the bytes that were read too far.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.headers.push((name.to_owned(), value));
            }
        }
    }

    pub fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Ok(chunk)
    }

    /// Reads a whole message with a length, in chunks or without a body.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.header("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.exactly(length)?;
        Ok(message)
    }
}

/// Opens a connection with time-outs for connecting and reading.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends a request on a new connection and returns the whole answer.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(request.as_bytes())?;
    Reader::new(stream).message()
}

pub fn get(address: SocketAddr, target: &str, timeout: Duration) -> io::Result<Message> {
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    call(address, &request, timeout)
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit > part.len() {
                text.push('=');
            } else {
                let value = bits >> (18 - 6 * digit) & 63;
                text.push(DIGITS[value as usize] as char);
            }
        }
    }
    text
}

/// Decodes `%XX` and `+` of a query.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut place = 0;
    while place < bytes.len() {
        let hex = text.get(place + 1..place + 3);
        let value = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[place], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                place += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        place += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns a field of the query of a target.
pub fn field(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .find(|(known, _)| *known == name)
        .map(|(_, value)| decode(value))
}

/// Random numbers, by splitmix64.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }
}

pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
