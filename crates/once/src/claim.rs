/// An acknowledgement of a claim, which counts as a vote for its lease.
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
///
/// It asks the receiver to acknowledge the sender's lease and carries the
/// sender's acknowledgement of the receiver's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Host name of the sender.
    pub name: String,
    /// Start of the sender's lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Owner epoch of the sender's settings.
    pub epoch: u64,
    /// Serial number within the lifetime; the sender maps it to its own send
    /// time, so that no clock is compared between hosts.
    pub serial: u64,
    /// Acknowledgement of the receiver's last claim; `None` while the sender
    /// grants none, such as right after its start.
    pub ack: Option<Ack>,
}
