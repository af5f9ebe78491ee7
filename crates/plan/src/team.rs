/// Who sends requests, recognised by a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Rank, which goes before that of the route; 0 is the most urgent.
    pub tier: Option<u8>,
}
