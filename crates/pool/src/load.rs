use core::time;

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Places in the running batch, or 0 if the endpoint does not say.
    pub slots: u32,
    /// Whether the endpoint drains.
    pub is_draining: bool,
    /// Time at which the report was true, as far as known.
    pub at: time::Duration,
}
