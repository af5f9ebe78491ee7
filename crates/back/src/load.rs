/// An endpoint's load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Places in the running batch.
    #[serde(default)]
    pub slots: u32,
    /// Whether the endpoint drains.
    #[serde(default)]
    pub draining: bool,
    /// Unix time in milliseconds at which the report was true.
    #[serde(default)]
    pub at_ms: u64,
}
