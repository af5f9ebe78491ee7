use core::time;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier, the same for every request that shares the part.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Parts of the prompt in their order; the last one is not shared.
    pub parts: Vec<Part>,
    /// Tokens of the prompt; 0 for plain work.
    pub prompt_tokens: u32,
}

impl Work {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the part that decides where the request is best placed.
    pub fn placement(&self) -> Option<Part> {
        self.shared().last().copied()
    }
}

/// What a request needs beside its work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// Rank; 0 is the most urgent.
    pub tier: u8,
    /// Time that is left for the request.
    pub left: time::Duration,
}
