/// How a host obtains new revisions of the platform's configuration in one step.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Hold a long-poll watch at the platform.
    Watch,
    /// Detect new revisions by digests and fetch them from peers.
    Follow,
    /// Read the platform once, now.
    Read,
}
