/// Load report of an endpoint, the JSON body of `GET /load`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Maximum number of requests in the running batch; 0 if not reported.
    #[serde(default)]
    pub slots: u32,
    /// Whether the endpoint is draining; false if not reported.
    #[serde(default)]
    pub draining: bool,
    /// Unix time in milliseconds at which the endpoint took the figures; 0 if not
    /// reported.
    #[serde(default)]
    pub at_ms: u64,
}
