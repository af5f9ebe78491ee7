/// Incremental parser for the data lines of server-sent events.
#[derive(Clone, Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
}

impl Events {
    /// Appends bytes and returns the data of each line that they complete. Other fields are
    /// ignored.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend_from_slice(bytes);
        let mut found = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|&b| b == b'\n') {
            let line = String::from_utf8_lossy(&self.buffer[start..start + length]);
            if let Some(data) = line.strip_prefix("data:") {
                found.push(data.trim().to_owned());
            }
            start += length + 1;
        }
        self.buffer.drain(..start);
        found
    }

    /// Returns whether an incomplete line is buffered.
    pub const fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}
