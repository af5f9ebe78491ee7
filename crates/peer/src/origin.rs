use std::sync;

/// Where a call came from.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Origin {
    /// Host name of the caller, proved with a shared key.
    pub name: sync::Arc<str>,
    /// Start of its process lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Number of the link, unique within this process lifetime.
    pub link: u64,
}
