/// Endpoint as listed in the settings or by the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Identifier, unique within the table.
    pub id: u32,
    /// Whether the endpoint accepts new requests.
    pub is_up: bool,
    /// Maximum number of concurrent requests; 0 if unknown.
    pub slots: u32,
}
