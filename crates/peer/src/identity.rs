/// Who a host is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// Host name.
    pub name: String,
    /// Start of the process lifetime in Unix milliseconds.
    pub incarnation: u64,
}
