/// The `[admin]` section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admin {
    /// SHA-256 of each key that grants read access.
    pub read_key_hashes: Vec<[u8; 32]>,
    /// SHA-256 of each key that also grants operations such as draining.
    pub operate_key_hashes: Vec<[u8; 32]>,
}
