use std::collections;

use crate::entry;
use crate::origin;
use crate::settings;

/// Settings that passed the check.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The settings.
    pub settings: settings::Settings,
    /// File and line of each value that is not a default.
    pub origins: collections::BTreeMap<entry::Entry, origin::Origin>,
    /// SHA-256 over the names and texts of the files, in the order of names.
    pub digest: [u8; 32],
    /// Text of each value that is not a default, for [`crate::render()`].
    pub(crate) texts: collections::BTreeMap<entry::Entry, String>,
    /// Sections that files start, including those without a key.
    pub(crate) sections: collections::BTreeSet<(&'static str, String)>,
}

impl Configuration {
    /// Returns where a value comes from; `None` for a default.
    pub fn origin(&self, place: &entry::Entry) -> Option<&origin::Origin> {
        self.origins.get(place)
    }
}
