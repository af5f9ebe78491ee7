use crate::position;
use crate::subqueue;
use crate::tag;
use crate::team;

slotmap::new_key_type! {
    /// Key of a caller's flow.
    pub(crate) struct Key;
}

/// Fair-queueing state of one caller within a team.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) id: u64,
    pub(crate) team: team::Key,
    pub(crate) tag: tag::Tag,
    /// Charge not yet applied to the tag, in tokens; negative for a refund.
    pub(crate) pending_charge: f64,
    /// Whether the flow is listed among the idle callers of the team.
    pub(crate) is_idle: bool,
    /// Number of queued or running jobs.
    pub(crate) open_jobs: usize,
    /// Number of jobs eligible for service.
    pub(crate) eligible: usize,
    /// Cost in tokens of the eligible jobs that are not past their target.
    pub(crate) cost: f64,
    /// Eligible jobs, earliest deadline first.
    pub(crate) subqueues: subqueue::Set<position::Position>,
}
