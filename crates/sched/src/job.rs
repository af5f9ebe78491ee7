use core::time;

use crate::lane;

/// A request to be queued.
#[derive(Clone, Copy, Debug)]
pub struct Job<T> {
    /// Index into [`crate::Options::classes`].
    pub class: u16,
    /// Key of the team.
    pub team: u32,
    /// Hash of the caller within its team.
    pub caller: u64,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Time until which a start meets the target of the class. Jobs that are
    /// past it go after the others of their tier. The targets of one class are
    /// expected to pass in the order of arrival.
    pub target: time::Duration,
    /// Latest time at which starting the job is of use.
    pub deadline: time::Duration,
    /// Kind of room that the job needs.
    pub lane: lane::Lane,
    /// Earliest time at which the job may be taken.
    pub ready_at: time::Duration,
    /// What the owner keeps with the job.
    pub data: T,
}
