use core::time;

use crate::cause;
use crate::verdict;

/// Measured times and targets of one request that was not refused.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from arrival to the first token or, for services, to the answer.
    pub time_to_first_token: time::Duration,
    /// Part of `time_to_first_token` that the request waited in the queue.
    pub queue_time: time::Duration,
    /// Time between tokens that is compared with `target_gap`, such as a high quantile;
    /// `None` without two tokens.
    pub gap: Option<time::Duration>,
    /// Whether an earlier attempt failed.
    pub is_retried: bool,
    /// Whether the whole answer was delivered.
    pub is_complete: bool,
    /// Target for `time_to_first_token`.
    pub target_first: time::Duration,
    /// Target for `gap`; `None` for no such target.
    pub target_gap: Option<time::Duration>,
}

impl Sample {
    /// Compares the times with the targets and returns the main cause of a miss.
    ///
    /// If the first token was late, the cause is the retry if there was one, else the
    /// queue or the endpoint, whichever took longer. If the first token was in time
    /// but the gap was too long or the answer incomplete, the cause is the endpoint.
    pub fn verdict(&self) -> verdict::Verdict {
        let is_gap_met = match (self.gap, self.target_gap) {
            (Some(gap), Some(target)) => gap <= target,
            _ => true,
        };
        let is_mostly_queue =
            self.queue_time > self.time_to_first_token.saturating_sub(self.queue_time);
        match self.time_to_first_token > self.target_first {
            true if self.is_retried => verdict::Verdict::Bad(cause::Cause::Retry),
            true if is_mostly_queue => verdict::Verdict::Bad(cause::Cause::Queue),
            true => verdict::Verdict::Bad(cause::Cause::Endpoint),
            false if is_gap_met && self.is_complete => verdict::Verdict::Good,
            false => verdict::Verdict::Bad(cause::Cause::Endpoint),
        }
    }
}
