/// Who sends requests, recognised by a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Rank that replaces the one of the route.
    pub tier: Option<u8>,
}
