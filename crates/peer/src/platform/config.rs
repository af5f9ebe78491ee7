use std::collections;

/// Configuration that the platform holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize)]
pub struct Config {
    /// Revision.
    pub revision: u64,
    /// Texts of the files by name, at most 1 MiB with the names.
    pub files: collections::BTreeMap<String, String>,
}

impl Config {
    /// Tells whether the configuration can be passed on to other hosts.
    pub(super) fn is_bounded(&self) -> bool {
        let bytes: usize = self
            .files
            .iter()
            .map(|(name, text)| name.len() + text.len())
            .sum();
        bytes <= wire::limit::CONFIGURATION_BYTES
            && self.files.len() <= wire::limit::FILES
            && self
                .files
                .keys()
                .all(|name| name.len() <= wire::limit::NAME_BYTES)
    }
}
