/// An acknowledgement of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// Incarnation of the host whose claim is acknowledged.
    pub incarnation: u64,
    /// Owner epoch of the claim.
    pub epoch: u64,
    /// Serial number of the claim.
    pub serial: u64,
}

/// A datagram between two owners of idempotency keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Name of the sender.
    pub name: String,
    /// Start of the sender's lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Owner epoch of the sender's settings.
    pub epoch: u64,
    /// Serial number; the sender maps it to its own send time.
    pub serial: u64,
    /// Acknowledgement of the receiver's last claim, if the sender gives one.
    pub ack: Option<Ack>,
}
