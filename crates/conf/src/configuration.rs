use std::collections;

use crate::entry;
use crate::origin;
use crate::settings;

/// Settings that passed every check, with the origin of each value.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Values of the merged files and, for the rest, defaults.
    pub settings: settings::Settings,
    /// File and line of each value that a file sets.
    pub origins: collections::BTreeMap<entry::Entry, origin::Origin>,
    /// SHA-256 over the names and texts of the files in the byte order of names;
    /// equal for equal files on every host.
    pub digest: [u8; 32],
    /// Text of each value that a file sets, for [`crate::render()`].
    pub(crate) texts: collections::BTreeMap<entry::Entry, String>,
    /// Section and name of each header in the files, including headers without keys.
    pub(crate) sections: collections::BTreeSet<(&'static str, String)>,
}

impl Configuration {
    /// Returns the file and line that set a value; `None` if no file sets it and its
    /// default, if any, applies.
    pub fn origin(&self, entry: &entry::Entry) -> Option<&origin::Origin> {
        self.origins.get(entry)
    }
}
