/// One endpoint as listed in the settings and by the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Identity of the endpoint.
    pub id: u32,
    /// Whether the endpoint takes new work.
    pub is_up: bool,
    /// Upper bound of concurrent requests; 0 if unknown.
    pub slots: u32,
}
