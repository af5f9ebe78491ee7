use std::fmt;

/// Section, name and key that identify one value of the settings.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Entry {
    /// Section, such as `class`.
    pub section: String,
    /// Name after the section in its header; empty for sections without one.
    pub name: String,
    /// Name of the key within the section, such as `tier`.
    pub key: String,
}

impl Entry {
    /// Returns the entry of a key; `name` is empty for sections without one.
    pub fn new(
        section: impl Into<String>,
        name: impl Into<String>,
        key: impl Into<String>,
    ) -> Self {
        Self {
            section: section.into(),
            name: name.into(),
            key: key.into(),
        }
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.name.as_str() {
            "" => write!(f, "[{}] {}", self.section, self.key),
            name => write!(f, "[{} {name}] {}", self.section, self.key),
        }
    }
}
