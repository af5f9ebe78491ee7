use core::time;

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait in the queue of the endpoint.
    pub waiting: u32,
    /// Slots of the running batch; 0 if unknown.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new requests.
    pub is_draining: bool,
    /// Time to which the figures refer.
    pub at: time::Duration,
}
