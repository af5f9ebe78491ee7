use core::time;

use crate::caller;
use crate::job;

/// A queued job.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) job: job::Job<T>,
    pub(crate) caller: caller::Key,
    pub(crate) at: time::Duration,
    /// Whether the job is past its target.
    pub(crate) late: bool,
    /// Whether the job could be taken, as opposed to held.
    pub(crate) linked: bool,
}
