use crate::engine;

/// A group of endpoints that answer the same requests.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one endpoint accepts from all hosts together.
    pub connections_max: u32,
    /// Facts about its model engines; absent for plain services.
    pub engine: Option<engine::Engine>,
}
