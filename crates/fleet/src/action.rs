/// How a host keeps up with the platform's configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Hold a long-poll watch at the platform.
    Watch,
    /// Learn revisions from digests and fetch them from peers.
    Follow,
    /// Read the platform once, now.
    Read,
}
