//! Server-sent events: where an event ends, and when a stream of them is whole.
//!
//! A stream is whole if both hold:
//!
//! - Its body ends by its framing: a length, chunks, or the end of the connection.
//! - Nothing but comments follows its last event. The framing does not show this: an
//!   endpoint whose program stops within an event still ends its chunks.
//!
//! Where a protocol marks the last event, that event must have arrived as well; see
//! [`EventCounter::is_done`](crate::EventCounter::is_done).

use core::fmt;

use bytes::{Bytes, BytesMut};

use crate::response;

/// A stream has ended within an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error {
    /// Number of bytes after the last complete event.
    pub bytes: usize,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "the stream ended within an event, {} bytes after the last complete one",
            self.bytes
        )
    }
}

impl std::error::Error for Error {}

/// Splits a stream of server-sent events at the blank lines that end them. Lines end with
/// a line feed, a carriage return or both.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of buffered bytes that were searched and contain no end.
    searched: usize,
    /// Number of bytes of comments at the front of the buffer.
    comments: usize,
}

impl Splitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event including its blank line, or `None` if
    /// more bytes are needed.
    ///
    /// Comments are kept in front of the event that follows, so that they do not count
    /// as progress of the stream.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            // An end can start in the last three bytes that were searched before.
            let from = self.searched.saturating_sub(3).max(self.comments);
            let Some(end) = find_end(&self.buffer[from..]) else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = from + end;
            self.searched = end;
            if is_comment(&self.buffer[self.comments..end]) {
                self.comments = end;
                continue;
            }
            self.reset();
            return Some(self.buffer.split_to(end).freeze());
        }
    }

    /// Adds data and returns all bytes up to the last blank line, complete events and
    /// comments.
    pub fn split(&mut self, data: Bytes) -> Bytes {
        if self.buffer.is_empty() && data.ends_with(b"\n\n") {
            return data;
        }
        self.push(&data);
        let mut from = self.searched.saturating_sub(3);
        let mut end = 0;
        while let Some(length) = find_end(&self.buffer[from..]) {
            from += length;
            end = from;
        }
        self.searched = self.buffer.len() - end;
        self.comments = 0;
        self.buffer.split_to(end).freeze()
    }

    /// Returns the number of bytes after the last complete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.reset();
        self.buffer.split().freeze()
    }

    /// Takes what follows the last event of a stream whose body has ended: comments, or
    /// nothing.
    ///
    /// # Errors
    ///
    /// Fails if the stream has ended within an event or a line, which it keeps. An event
    /// without its blank line is not complete.
    pub fn finish(&mut self) -> Result<Bytes, Error> {
        match self.is_within_event() {
            true => Err(Error {
                bytes: self.pending(),
            }),
            false => Ok(self.rest()),
        }
    }

    /// Returns whether a part of an event or of a line follows the last complete event.
    pub fn is_within_event(&self) -> bool {
        let is_line = self
            .buffer
            .last()
            .is_none_or(|byte| LINE_ENDS.contains(byte));
        !(is_line && is_comment(&self.buffer))
    }

    const fn reset(&mut self) {
        self.searched = 0;
        self.comments = 0;
    }
}

/// Returns whether a response with this head is a stream of events. One that does not state
/// its type is, if it is a success.
pub fn is_stream(status: http::StatusCode, headers: &http::HeaderMap) -> bool {
    match response::media_type(headers) {
        Some(kind) => kind.eq_ignore_ascii_case("text/event-stream"),
        None => status.is_success(),
    }
}

/// Returns the id of an event if it is a number.
pub fn id(event: &[u8]) -> Option<u64> {
    lines(event)
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|value| core::str::from_utf8(value).ok())
        .find_map(|value| value.trim().parse().ok())
}

/// Bytes that end a line.
const LINE_ENDS: [u8; 2] = *b"\n\r";

/// Returns the lines of a block, and an empty one between a carriage return and a line
/// feed.
fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|byte| LINE_ENDS.contains(byte))
}

/// Returns whether a block of lines contains no field of an event.
fn is_comment(block: &[u8]) -> bool {
    lines(block).all(|line| matches!(line, [] | [b':', ..]))
}

/// Returns the position after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|start| match &bytes[start..] {
        [b'\n', b'\n', ..] | [b'\r', b'\r', ..] => Some(start + 2),
        [b'\n', b'\r', b'\n', ..] => Some(start + 3),
        _ => None,
    })
}
