use core::time;

use crate::load::outcome::Outcome;

/// Measurements of one request from the caller's point of view.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from sending to the first token or, for an answer that is not streamed, to its
    /// end.
    pub first: Option<time::Duration>,
    /// Times between successive tokens.
    pub gaps: Vec<time::Duration>,
    /// Time from sending to the outcome.
    pub total: time::Duration,
    /// Output tokens received.
    pub tokens: u32,
    /// Time in the router's queue according to the header `x-queue-ms`.
    pub queued: Option<time::Duration>,
    /// Value of the header `x-class`, if present.
    pub class: Option<String>,
}

impl Record {
    /// Returns the mean time between tokens, or `None` with fewer than two tokens.
    pub fn mean_gap(&self) -> Option<time::Duration> {
        let count = u32::try_from(self.gaps.len()).ok()?;
        let sum: time::Duration = self.gaps.iter().sum();
        sum.checked_div(count)
    }
}
