use pool::{EndpointId, Finish, RequestId};

/// What one host tells another.
#[derive(Clone, Debug)]
pub enum Message {
    Ask(RequestId),
    Grant(RequestId, EndpointId),
    Refuse(RequestId),
    First(RequestId),
    Done(RequestId, Finish),
    Cancel(RequestId),
    /// Places that a host wants per tier and holds per endpoint.
    Demand(usize, [f64; 3], Vec<u32>),
    /// Places per endpoint that a host may hold.
    Lease(Vec<u32>),
}

impl Message {
    /// Returns the bytes on the wire.
    ///
    /// `cargo run --release -p peer --example measure` gives 217 bytes for an
    /// ask with its grant and 174 for first and done. Leases and demands are
    /// not in the schema; they are counted as a frame with two bytes per endpoint.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Ask(_) => 130,
            Self::Grant(..) | Self::Refuse(_) => 87,
            Self::First(_) | Self::Done(..) | Self::Cancel(_) => 87,
            Self::Demand(_, _, held) => 60 + 2 * held.len() as u64,
            Self::Lease(places) => 60 + 2 * places.len() as u64,
        }
    }

    /// Returns whether the sender sends it again once the link is back.
    pub const fn is_kept(&self) -> bool {
        matches!(self, Self::First(_) | Self::Done(..) | Self::Cancel(_))
    }
}
