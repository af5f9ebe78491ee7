use core::time;

use crate::load::outcome::Outcome;

/// What one request experienced.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from sending to the first token or, for a service, to the whole answer.
    pub first: Option<time::Duration>,
    /// Times between successive tokens.
    pub gaps: Vec<time::Duration>,
    /// Time from sending to the end.
    pub total: time::Duration,
    /// Output tokens received.
    pub tokens: u32,
    /// Time in the router's queue according to `x-queue-ms`.
    pub queued: Option<time::Duration>,
    /// Value of `x-class`.
    pub class: Option<String>,
}

impl Record {
    /// Returns the mean time between tokens.
    pub fn mean_gap(&self) -> Option<time::Duration> {
        let count = u32::try_from(self.gaps.len()).ok()?;
        let sum: time::Duration = self.gaps.iter().sum();
        sum.checked_div(count)
    }
}
