use core::time;

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the endpoint's own queue.
    pub waiting: u32,
    /// Slots of the running batch; 0 if the endpoint does not report them.
    pub slots: u32,
    /// Whether the endpoint accepts no new requests.
    pub is_draining: bool,
    /// Time of the measurement at the endpoint, as far as known.
    pub at: time::Duration,
}
