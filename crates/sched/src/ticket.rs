use crate::caller;

/// Proof that a job was taken, with the cost that was charged for it.
///
/// Every ticket must go back to [`crate::Queue::settle`].
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    pub(crate) caller: caller::Key,
    pub(crate) cost: f64,
}
