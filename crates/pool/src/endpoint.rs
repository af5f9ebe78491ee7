/// Identifies one endpoint within a shard. Assigned by whoever calls the policy
/// and never used again for another endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointId(pub u32);

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Takes new work.
    Up,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// One endpoint of the shard, as listed in the settings and by the platform.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Identity of the endpoint.
    pub id: EndpointId,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Upper bound of concurrent requests that the settings give.
    pub slots: u32,
}
