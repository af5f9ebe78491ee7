use xxhash_rust::xxh3;

/// Identifies a version of the software of endpoints.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Build(u64);

impl Build {
    /// Returns the build with this version.
    pub fn new(version: &str) -> Self {
        Self(xxh3::xxh3_64(version.as_bytes()))
    }
}
