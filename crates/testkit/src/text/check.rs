use crate::text::verdict::Verdict;

/// Incremental check of the text of one answer.
#[derive(Clone, Debug)]
pub struct Check {
    tag: String,
    /// Incomplete token at the end of the text so far.
    partial: String,
    /// Number of the next token.
    next: u32,
    fault: Option<Verdict>,
}

impl Check {
    /// Returns a check for the answer to the request with the given tag.
    pub fn new(tag: impl Into<String>) -> Self {
        Self {
            tag: tag.into(),
            partial: String::new(),
            next: 0,
            fault: None,
        }
    }

    /// Appends the next part of the text, which may end within a token.
    pub fn push(&mut self, piece: &str) {
        self.partial.push_str(piece);
        while let Some(end) = self.partial.find(' ') {
            let token: String = self.partial.drain(..=end).collect();
            self.check_token(token.trim_end());
        }
    }

    /// Returns the number of complete tokens received.
    pub const fn tokens(&self) -> u32 {
        self.next
    }

    /// Returns the verdict for an answer of `expected` tokens. If there are several faults,
    /// the first one within the text is reported.
    pub fn finish(&self, expected: u32) -> Verdict {
        if let Some(fault) = self.fault {
            return fault;
        }
        if !self.partial.is_empty() || self.next < expected {
            return Verdict::Truncated;
        }
        if self.next > expected {
            return Verdict::Excess;
        }
        Verdict::Whole
    }

    fn check_token(&mut self, token: &str) {
        let number = token
            .strip_prefix(self.tag.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .and_then(|rest| rest.parse::<u32>().ok());
        let fault = match number {
            None => Some(Verdict::Foreign),
            Some(number) if number > self.next => Some(Verdict::Missing),
            Some(number) if number < self.next => Some(Verdict::Duplicated),
            Some(_) => None,
        };
        self.fault = self.fault.or(fault);
        self.next += 1;
    }
}
