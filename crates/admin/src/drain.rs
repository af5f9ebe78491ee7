/// What is drained.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The host that answers.
    Host,
    /// An endpoint, at its home host.
    Endpoint,
}

/// Order to drain something or to take it back into service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What is drained.
    pub target: Target,
    /// Name of the host or endpoint.
    pub name: String,
}

/// State after an order.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Drained {
    /// What was drained.
    pub target: Target,
    /// Name of the host or endpoint.
    pub name: String,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Requests that it still has.
    pub in_flight: u64,
}
