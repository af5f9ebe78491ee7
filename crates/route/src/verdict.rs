/// Verdict of [`crate::Quarantine`] on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No crash is attributed to the request.
    Clear,
    /// The request was in flight at a crash.
    Suspect,
    /// The request was in flight at crashes of two endpoints, or at three of one,
    /// and is refused.
    Poison,
}
