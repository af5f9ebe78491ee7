use crate::queue;

/// A job whose turn it is, as returned by [`crate::Queue::pick`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The job.
    pub key: queue::Key,
    /// Whether a floor put the job before work of higher tiers.
    pub is_floor: bool,
}
