use crate::running;

/// State of a request that was neither refused, cancelled nor finished.
#[derive(Clone, Copy, Debug)]
pub(crate) enum State {
    /// In the queue.
    Queued(sched::Key),
    /// Holds a slot at an endpoint.
    Running(running::Key),
}
