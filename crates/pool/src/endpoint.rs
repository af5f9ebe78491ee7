/// Identifier of an endpoint within a shard, assigned by the owner of the policy
/// and never reused for another endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointId(pub u32);

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Accepts new requests.
    Up,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// An endpoint of the shard, as listed in the settings or by the platform.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Identifier by which later inputs and actions refer to the endpoint.
    pub id: EndpointId,
    /// Whether new requests may be sent to it.
    pub phase: Phase,
    /// Limit of concurrent requests from the settings.
    pub slots: u32,
}
