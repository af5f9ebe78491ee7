/// One endpoint as listed in the settings and by the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Setting {
    /// Identity of the endpoint.
    pub id: u32,
    /// Whether the endpoint takes new work.
    pub up: bool,
    /// Upper bound of concurrent requests; 0 if unknown.
    pub slots: u32,
}
