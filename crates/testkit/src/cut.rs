//! Answers that end within an event, however the end of their body is declared.

/// How the head of an answer declares the end of its body.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// By a length.
    Length,
    /// By the last chunk.
    Chunks,
    /// Not at all; the body ends with its connection.
    Connection,
}

impl Framing {
    /// Returns the line of the head for a body of this many bytes; empty without one.
    pub fn line(self, length: usize) -> String {
        match self {
            Self::Length => format!("content-length: {length}\r\n"),
            Self::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Connection => String::new(),
        }
    }

    /// Returns a part of the body as it is sent. An empty one ends the body.
    pub fn part(self, text: &str) -> String {
        match self {
            Self::Length | Self::Connection => text.to_owned(),
            Self::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
        }
    }
}

/// Where the part of an event ends that is sent.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// After the first byte.
    OneByte,
    /// In the middle.
    Middle,
    /// Before the last byte, so that only the blank line is missing.
    BlankLine,
}

/// All places of a cut.
pub const CUTS: [Cut; 3] = [Cut::OneByte, Cut::Middle, Cut::BlankLine];

impl Cut {
    /// Returns the part of an event that is sent.
    pub fn part(self, event: &str) -> &str {
        let end = match self {
            Self::OneByte => 1,
            Self::Middle => event.len() / 2,
            Self::BlankLine => event.len() - 1,
        };
        &event[..end]
    }
}
