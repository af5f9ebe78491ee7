/// What a new list of endpoints changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An endpoint was added.
    Added(String),
    /// An endpoint leaves and takes no new work.
    Leaving(String),
    /// An endpoint takes work again.
    Returned(String),
    /// An endpoint is no longer listed.
    Removed(String),
}
