/// The `[admin]` section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admin {
    /// SHA-256 of keys that may read.
    pub read_key_hashes: Vec<[u8; 32]>,
    /// SHA-256 of keys that may also operate.
    pub operate_key_hashes: Vec<[u8; 32]>,
}
