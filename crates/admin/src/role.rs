/// Permissions of a key.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// May read the state of the host.
    Read,
    /// May read the state of the host and change it.
    Operate,
}
