use crate::caller;

/// Estimated cost that was charged to a caller for a taken job.
///
/// Each charge must be passed to [`crate::Queue::settle`] when the job ends;
/// until then the queue keeps the state of the caller and its team.
#[derive(Debug)]
#[must_use]
pub struct Charge {
    pub(crate) caller: caller::Key,
    pub(crate) cost: f64,
}
