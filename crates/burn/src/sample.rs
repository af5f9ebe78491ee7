use core::time;

use crate::cause;
use crate::verdict;

/// Measured times of one request that was not refused.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from arrival to the first token or, for services, to the answer.
    pub time_to_first_token: time::Duration,
    /// The part of `time_to_first_token` before the grant of the last attempt.
    pub queue_time: time::Duration,
    /// The longest or a high quantile of the times between tokens.
    pub gap: Option<time::Duration>,
    /// Whether an earlier attempt failed.
    pub is_retried: bool,
    /// Whether the whole answer was delivered.
    pub is_complete: bool,
    /// Target for `time_to_first_token`.
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
        let queue_share =
            self.queue_time > self.time_to_first_token.saturating_sub(self.queue_time);
        match self.time_to_first_token > self.target_first {
            true if self.is_retried => verdict::Verdict::Bad(cause::Cause::Retry),
            true if queue_share => verdict::Verdict::Bad(cause::Cause::Queue),
            true => verdict::Verdict::Bad(cause::Cause::Endpoint),
            false if gap_met && self.is_complete => verdict::Verdict::Good,
            false => verdict::Verdict::Bad(cause::Cause::Endpoint),
        }
    }
}
