use crate::endpoint;

/// Data of an endpoint that the choice of an endpoint scans, kept small and
/// contiguous.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: endpoint::Key,
    /// Bits by [`crate::Need::index`], set for each kind for which there is room.
    pub(crate) open_kinds: u8,
    /// Number of running or waiting requests, own and foreign.
    pub(crate) load: f32,
    /// Slots that the endpoint would have without foreign load, at least 1.
    pub(crate) capacity: f32,
}
