/// What is known about a request that may crash endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing is held against the request.
    Clear,
    /// The request was in flight at one crash.
    Suspect,
    /// The request was in flight at the crash of two endpoints.
    Poison,
}
