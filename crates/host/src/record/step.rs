use core::time;

/// One decision about a request.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Time since the request arrived.
    pub(crate) at: time::Duration,
    /// What was decided.
    pub(crate) event: &'static str,
    /// Why, with the figures that decided.
    pub(crate) detail: String,
}
