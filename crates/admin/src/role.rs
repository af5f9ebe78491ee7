/// What a key may do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Read the state of the host.
    Read,
    /// Read the state of the host and change it.
    Operate,
}
