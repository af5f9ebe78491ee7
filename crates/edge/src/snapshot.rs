/// The configuration and the endpoints as one host knows them, for a host that
/// cannot read the platform itself.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Snapshot {
    /// The configuration, unless the other host has it.
    pub(crate) plan: Option<plan::Plan>,
    pub(crate) plan_revision: u64,
    /// Platform revision of the list of endpoints.
    pub(crate) endpoint_revision: u64,
    pub(crate) endpoints: Vec<plan::Endpoint>,
    /// Age of the newest word of the platform in milliseconds.
    pub(crate) age_ms: u64,
}
