use crate::text::verdict::Verdict;

/// Checks the text of one answer as it arrives.
#[derive(Clone, Debug)]
pub struct Check {
    tag: String,
    rest: String,
    next: u32,
    fault: Option<Verdict>,
}

impl Check {
    /// Returns a check for the answer to the request with this tag.
    pub fn new(tag: impl Into<String>) -> Self {
        Self {
            tag: tag.into(),
            rest: String::new(),
            next: 0,
            fault: None,
        }
    }

    /// Takes the next piece of text; pieces need not end between tokens.
    pub fn push(&mut self, piece: &str) {
        self.rest.push_str(piece);
        while let Some(end) = self.rest.find(' ') {
            let token: String = self.rest.drain(..=end).collect();
            self.token(token.trim_end());
        }
    }

    /// Returns the number of tokens seen.
    pub const fn tokens(&self) -> u32 {
        self.next
    }

    /// Returns the verdict for an answer that should have `expected` tokens.
    pub fn finish(&self, expected: u32) -> Verdict {
        if let Some(fault) = self.fault {
            return fault;
        }
        if !self.rest.is_empty() || self.next < expected {
            return Verdict::Truncated;
        }
        if self.next > expected {
            return Verdict::Excess;
        }
        Verdict::Whole
    }

    fn token(&mut self, token: &str) {
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
