/// One value of the settings in force.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Entry {
    /// Kind and name of the section, such as `class interactive`.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// Value as text; the source replaces secrets by `(masked)`.
    pub value: String,
    /// File that sets the value; `None` for a default.
    pub file: Option<String>,
    /// Line in the file, from 1; `None` for a default.
    pub line: Option<u32>,
}

/// Settings in force on the host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Settings {
    /// Revision in force; 0 for settings from the local folder.
    pub revision: u64,
    /// SHA-256 hash of the configuration in hexadecimal.
    pub content: String,
    /// Values after all files were merged.
    pub entries: Vec<Entry>,
}
