use crate::caller;

/// Proof that a job was taken, with the cost that was charged for it.
///
/// Every charge must go back to [`crate::Queue::settle`].
#[derive(Debug)]
#[must_use]
pub struct Charge {
    pub(crate) caller: caller::Key,
    pub(crate) cost: f64,
}
