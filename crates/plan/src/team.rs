/// A group of callers, identified by their keys.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Name, which is sent along with requests to endpoints.
    pub name: String,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Tier, which takes precedence over that of the route; 0 is the most urgent
    /// one. `None` applies the tier of the route.
    pub tier: Option<u8>,
}
