use std::collections;

use crate::caller;
use crate::subqueue;
use crate::tag;

slotmap::new_key_type! {
    /// Key of a team's flow.
    pub(crate) struct Key;
}

/// Fair-queueing state of one team within a tier.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) id: u32,
    pub(crate) tier: usize,
    pub(crate) weight: f64,
    pub(crate) tag: tag::Tag,
    /// Charge not yet applied to the tag, in tokens; negative for a refund.
    pub(crate) pending_charge: f64,
    /// Virtual time among the callers of the team.
    pub(crate) virtual_time: tag::Tag,
    /// Number of queued or running jobs.
    pub(crate) open_jobs: usize,
    /// Number of queued jobs.
    pub(crate) queued: usize,
    /// Number of jobs eligible for service.
    pub(crate) eligible: usize,
    /// Number of callers with an eligible job.
    pub(crate) active_callers: usize,
    /// Cost in tokens of the eligible jobs that are not past their target.
    pub(crate) cost: f64,
    /// Callers with eligible jobs by tag, for each subqueue.
    pub(crate) subqueues: subqueue::Set<(tag::Tag, caller::Key)>,
    /// Callers by their hash.
    pub(crate) callers: rustc_hash::FxHashMap<u64, caller::Key>,
    /// Callers without jobs, in the order in which they became idle. Entries of
    /// callers that have new jobs are removed later.
    pub(crate) idle_callers: collections::VecDeque<caller::Key>,
}

impl subqueue::Item for (tag::Tag, caller::Key) {
    fn least() -> Self {
        (tag::Tag(f64::NEG_INFINITY), caller::Key::default())
    }
}
