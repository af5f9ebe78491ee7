use pool::{EndpointId, Finish, RequestId};

/// Message between two hosts.
#[derive(Clone, Debug)]
pub enum Message {
    Submit(RequestId),
    Grant(RequestId, EndpointId),
    Refuse(RequestId),
    First(RequestId),
    Done(RequestId, Finish),
    Cancel(RequestId),
    /// A host, the slots that it wants per tier, and the slots that it uses per
    /// endpoint.
    Demand(usize, [f64; 3], Vec<u32>),
    /// Slots per endpoint that the recipient may use.
    Lease(Vec<u32>),
}

impl Message {
    /// Returns the size on the wire in bytes.
    ///
    /// `cargo run --release -p peer --example measure` gives 217 bytes for a
    /// request with its grant and 174 for first output and end. Leases and demands
    /// are not in the schema; they count as a frame with two bytes per endpoint.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Submit(_) => 130,
            Self::Grant(..) | Self::Refuse(_) => 87,
            Self::First(_) | Self::Done(..) | Self::Cancel(_) => 87,
            Self::Demand(_, _, held) => 60 + 2 * held.len() as u64,
            Self::Lease(slots) => 60 + 2 * slots.len() as u64,
        }
    }

    /// Returns whether the sender sends the message again once the link is restored.
    pub const fn is_kept(&self) -> bool {
        matches!(self, Self::First(_) | Self::Done(..) | Self::Cancel(_))
    }
}
