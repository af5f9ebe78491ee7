use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at the blank lines that end them.
/// Comments are kept in front of the event that follows, so that they do not count
/// as progress of the stream.
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

    /// Returns the number of bytes after the last complete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.reset();
        self.buffer.split().freeze()
    }

    const fn reset(&mut self) {
        self.searched = 0;
        self.comments = 0;
    }
}

/// Returns the id of an event if it is a number.
pub(crate) fn id(event: &[u8]) -> Option<u64> {
    event
        .split(|&byte| byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|value| core::str::from_utf8(value).ok())
        .find_map(|value| value.trim().parse().ok())
}

/// Returns whether a block of lines contains no field of an event.
fn is_comment(block: &[u8]) -> bool {
    block
        .split(|&byte| byte == b'\n')
        .all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the position after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|start| {
        let rest = &bytes[start..];
        if rest.starts_with(b"\n\n") {
            Some(start + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(start + 3)
        } else {
            None
        }
    })
}
