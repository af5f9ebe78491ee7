use std::collections;

/// Configuration as published by the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize)]
pub struct Config {
    /// Revision number; a newer configuration has a higher one.
    pub revision: u64,
    /// Contents of the files by name; names and contents have at most 1 MiB together.
    pub files: collections::BTreeMap<String, String>,
}

impl Config {
    /// Returns whether the configuration is within the limits of the messages that
    /// pass it on to other hosts.
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
