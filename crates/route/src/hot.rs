use crate::endpoint;

/// What a scan over the endpoints reads, kept small and contiguous.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hot {
    pub(crate) key: endpoint::Key,
    /// One bit per kind of [`crate::Need`] for which there is room.
    pub(crate) room: u8,
    /// Requests that run or wait there, foreign ones included.
    pub(crate) load: f32,
    /// Places that the endpoint would have without foreign load, at least 1.
    pub(crate) capacity: f32,
}
