use core::time;

use crate::cause;
use crate::verdict;

/// Measured times of one request that was not refused.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from arrival to the first token or, for services, to the answer.
    pub first: time::Duration,
    /// The part of `first` before the grant of the last attempt.
    pub queue: time::Duration,
    /// The longest or a high quantile of the times between tokens.
    pub gap: Option<time::Duration>,
    /// Whether an earlier attempt failed.
    pub retried: bool,
    /// Whether the whole answer was delivered.
    pub complete: bool,
    /// Target for `first`.
    pub target_first: time::Duration,
    /// Target for `gap`.
    pub target_gap: Option<time::Duration>,
}

impl Sample {
    /// Compares the times with the targets and names the main cause of a miss.
    ///
    /// A miss of the first token counts for the retry if there was one, else
    /// for the queue or the endpoint, whichever took longer. A miss after the
    /// first token counts for the endpoint.
    pub fn verdict(&self) -> verdict::Verdict {
        let gap_met = match (self.gap, self.target_gap) {
            (Some(gap), Some(target)) => gap <= target,
            _ => true,
        };
        let queue_share = self.queue > self.first.saturating_sub(self.queue);
        match self.first > self.target_first {
            true if self.retried => verdict::Verdict::Bad(cause::Cause::Retry),
            true if queue_share => verdict::Verdict::Bad(cause::Cause::Queue),
            true => verdict::Verdict::Bad(cause::Cause::Endpoint),
            false if gap_met && self.complete => verdict::Verdict::Good,
            false => verdict::Verdict::Bad(cause::Cause::Endpoint),
        }
    }
}
