use crate::queue;

/// Outcome of queueing a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission<T> {
    /// The job is queued.
    Queued(queue::Key),
    /// The job is queued in place of another one, which is shed.
    Displaced {
        /// The new job.
        key: queue::Key,
        /// What the owner kept with the shed job.
        shed: T,
    },
    /// The queue is full of jobs that go before this one.
    QueueFull(T),
    /// The team holds its share of a queue that is at least half full.
    TeamShare(T),
}
