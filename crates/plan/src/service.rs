use crate::cold;
use crate::engine;

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Name to which routes refer.
    pub name: String,
    /// Path of the endpoints' health check.
    pub health_path: String,
    /// Largest number of connections that one endpoint accepts from all hosts
    /// together.
    pub connections_max: u32,
    /// Properties of the model engines; `None` for services without engines.
    pub engine: Option<engine::Engine>,
    /// How cold endpoints take requests; `None` if endpoints are never cold. Snapshots
    /// between hosts state it beside the service, because hosts of earlier builds do not
    /// expect it here.
    #[serde(skip)]
    pub cold: Option<cold::Cold>,
}
