use core::time;

use crate::lane;

/// Request to queue, with what the order of service depends on. Times are
/// measured from the same start as the `now` of the methods of
/// [`crate::Queue`].
#[derive(Clone, Copy, Debug)]
pub struct Job<T> {
    /// Index into [`crate::Options::classes`]; a larger one stands for the last
    /// class.
    pub class: u16,
    /// Identifier of the team, as in [`crate::Options::weights`].
    pub team: u32,
    /// Hash of the caller within its team.
    pub caller: u64,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Latest start that meets the latency target of the class. Jobs past it
    /// are served after the other jobs of their tier. Jobs of one class are
    /// expected to arrive in the order of their targets.
    pub target: time::Duration,
    /// Latest useful start; [`crate::Queue::expire`] removes the job then.
    pub deadline: time::Duration,
    /// Kind of endpoint slot that the job needs.
    pub lane: lane::Lane,
    /// Earliest time at which the job is eligible for service.
    pub ready_at: time::Duration,
    /// Data of the owner, which the queue does not read.
    pub data: T,
}
