/// A `[team NAME]` section: callers recognised by their bearer keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// SHA-256 of each accepted bearer key; several allow rotation.
    pub key_hashes: Vec<[u8; 32]>,
    /// Weight relative to other teams, 0.001 to 1000.
    pub weight: f64,
    /// Class of the team's requests, unless the pool sets one.
    pub class: String,
}
