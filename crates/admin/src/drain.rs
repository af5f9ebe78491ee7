/// Kind of object to drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The host that receives the request; it drains only itself.
    Host,
    /// An endpoint. The request goes to the endpoint's home host.
    Endpoint,
}

/// Request to drain a host or an endpoint or to return it to service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Kind of the object.
    pub target: Target,
    /// Name of the host or endpoint.
    pub name: String,
}

/// State of a host or an endpoint after a drain or undrain request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Drained {
    /// Kind of the object.
    pub target: Target,
    /// Name of the host or endpoint.
    pub name: String,
    /// Whether it is draining, so that new requests go elsewhere.
    pub draining: bool,
    /// Open requests of the host's callers, or requests in flight at the endpoint.
    pub in_flight: u64,
}
