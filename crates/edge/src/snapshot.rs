/// Configuration and endpoints of one host, for a host that does not read the
/// platform itself. Encoded by position, so the order and types of the fields
/// are the wire format.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Snapshot {
    /// The configuration, unless the other host already has this revision.
    pub(crate) plan: Option<plan::Plan>,
    pub(crate) plan_revision: u64,
    /// Platform revision of the list of endpoints.
    pub(crate) endpoint_revision: u64,
    pub(crate) endpoints: Vec<plan::Endpoint>,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub(crate) age_ms: u64,
}
