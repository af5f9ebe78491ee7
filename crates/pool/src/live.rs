use crate::running;

/// Where an ask stands that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Live {
    /// Waits in the queue.
    Queued(sched::Key),
    /// Holds a place.
    Running(running::Key),
}
