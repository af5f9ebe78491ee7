/// Incremental counter of the data events of a server-sent event stream.
///
/// Chunks may end anywhere, also within a line. Each data event counts as one
/// token, except the final `[DONE]`.
#[derive(Clone, Debug, Default)]
pub struct EventCounter {
    /// Leading bytes of the current line, at most [`LINE_BYTES_MAX`].
    line: Vec<u8>,
    tokens: u32,
    is_done: bool,
}

/// Number of leading bytes of a line that are buffered; enough to recognise
/// `data: [DONE]`.
const LINE_BYTES_MAX: usize = 16;

impl EventCounter {
    /// Processes the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.extend(&rest[..end]);
            self.finish_line();
            rest = &rest[end + 1..];
        }
        self.extend(rest);
    }

    /// Returns the number of data events in complete lines so far, without
    /// `[DONE]`.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether `[DONE]` was received, without which the stream was
    /// truncated.
    pub const fn is_done(&self) -> bool {
        self.is_done
    }

    fn extend(&mut self, part: &[u8]) {
        let room = LINE_BYTES_MAX.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn finish_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        if let Some(data) = line.strip_prefix(b"data:") {
            if data.trim_ascii() == b"[DONE]" {
                self.is_done = true;
            } else {
                self.tokens += 1;
            }
        }
        self.line.clear();
    }
}
