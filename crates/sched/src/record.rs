use core::time;

/// Reason for which a job was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// A queued job was removed in favour of a new one of higher rank.
    Displaced,
    /// A new job was refused because the queue was full of jobs that do not
    /// rank below it.
    QueueFull,
    /// A new job was refused because its team held its share of the queue.
    TeamShare,
    /// A new job was refused because its deadline could not be met.
    DeadlineUnreachable,
    /// A queued job past its target was removed because its tier stayed
    /// overloaded.
    Overload,
    /// A queued job was removed by [`crate::Queue::expire`] or
    /// [`crate::Queue::expire_until`].
    Expired,
}

/// Properties that decide which of two jobs is dropped: the one of the lower
/// tier, then the one with the later deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Index of the class.
    pub class: u16,
    /// Tier of the class; 0 is the highest.
    pub tier: u8,
    /// Latest useful start of the job.
    pub deadline: time::Duration,
}

/// Decision to drop a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Time of the decision.
    pub at: time::Duration,
    /// Reason of the decision.
    pub reason: Reason,
    /// The dropped job.
    pub dropped: Rank,
    /// The job that was kept instead; `None` if no job was compared.
    pub kept: Option<Rank>,
}
