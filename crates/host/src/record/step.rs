use core::time;

/// One decision about a request.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Time since the request arrived.
    pub(crate) at: time::Duration,
    /// Name of the decision, as the administration API shows it.
    pub(crate) event: &'static str,
    /// Reason, with the figures on which the decision depends.
    pub(crate) detail: String,
}
