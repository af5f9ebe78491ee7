use crate::queue;

/// Outcome of [`crate::Queue::push`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission<T> {
    /// The job is queued.
    Queued(queue::Key),
    /// The job is queued and a job of lower rank was removed to make room.
    Displaced {
        /// Key of the new job.
        key: queue::Key,
        /// Data of the removed job.
        shed: T,
    },
    /// The job is refused: the queue is full and no queued job ranks below it.
    QueueFull(T),
    /// The job is refused: the queue is at least half full and the team already
    /// holds its share of it.
    TeamShare(T),
}
