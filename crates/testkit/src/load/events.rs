/// Splits a stream of server-sent events into their data.
#[derive(Clone, Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
}

impl Events {
    /// Takes the next bytes and returns the data of each event that they complete.
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

    /// Returns whether bytes of an unfinished line are left.
    pub const fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}
