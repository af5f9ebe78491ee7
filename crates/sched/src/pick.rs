use crate::queue;

/// Next job to serve, as returned by [`crate::Queue::pick`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Key of the job, which stays queued until [`crate::Queue::take`].
    pub key: queue::Key,
    /// Whether the floor of its class put the job ahead of higher tiers. Such a
    /// job does not advance the virtual times.
    pub is_floor: bool,
}
