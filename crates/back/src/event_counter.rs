/// Counts the events of a server-sent event stream across chunk boundaries.
///
/// One data event carries one token; the final `[DONE]` carries none.
#[derive(Clone, Debug, Default)]
pub struct EventCounter {
    line: Vec<u8>,
    tokens: u32,
    done: bool,
}

/// Leading bytes of a line that are kept; enough to recognise `data: [DONE]`.
const LINE_BYTES_MAX: usize = 16;

impl EventCounter {
    /// Takes the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.extend(&rest[..end]);
            self.finish_line();
            rest = &rest[end + 1..];
        }
        self.extend(rest);
    }

    /// Returns the number of tokens seen.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether the final event was seen.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    fn extend(&mut self, part: &[u8]) {
        let room = LINE_BYTES_MAX.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn finish_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        if let Some(data) = line.strip_prefix(b"data:") {
            if data.trim_ascii() == b"[DONE]" {
                self.done = true;
            } else {
                self.tokens += 1;
            }
        }
        self.line.clear();
    }
}
