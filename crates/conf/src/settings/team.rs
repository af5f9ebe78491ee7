/// A `[team NAME]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// SHA-256 of each accepted bearer key; several allow rotation.
    pub key_hashes: Vec<[u8; 32]>,
    /// Weight against other teams.
    pub weight: f64,
    /// Class of the team's requests, unless a pool gives another.
    pub class: String,
}
