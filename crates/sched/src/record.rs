use core::time;

/// Why a job was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// A queued job was shed for a new one.
    Displaced,
    /// A new job found the queue full.
    QueueFull,
    /// A new job's team held its share of the queue.
    TeamShare,
    /// The deadline of a new job could not be met.
    DeadlineUnreachable,
    /// A queued job was past its target while its tier stayed overloaded.
    Overload,
    /// A queued job was still waiting when its start became useless.
    Expired,
}

/// Rank of a job in a comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Class of the job.
    pub class: u16,
    /// Tier of the class.
    pub tier: u8,
    /// Deadline of the job.
    pub deadline: time::Duration,
}

/// One decision to give up a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Time of the decision.
    pub at: time::Duration,
    /// Why the job was given up.
    pub reason: Reason,
    /// The job that was given up.
    pub dropped: Rank,
    /// The job that was kept instead; `None` if there was none to compare with.
    pub kept: Option<Rank>,
}
