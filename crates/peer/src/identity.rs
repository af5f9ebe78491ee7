/// Identity of a host, exchanged in the handshake of a link.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// Host name, unique in the fleet.
    pub name: String,
    /// Start of the process in Unix milliseconds, which distinguishes a restarted host
    /// from its predecessor.
    pub incarnation: u64,
}
