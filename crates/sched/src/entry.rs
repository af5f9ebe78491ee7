use core::time;

use crate::caller;
use crate::job;

/// Queued job with its scheduling state.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) job: job::Job<T>,
    pub(crate) caller: caller::Key,
    /// Time of arrival.
    pub(crate) queued_at: time::Duration,
    /// Whether the job is past its target.
    pub(crate) is_late: bool,
    /// Whether the job is eligible for service, as opposed to held.
    pub(crate) is_eligible: bool,
}
