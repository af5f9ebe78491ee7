/// A value of the settings in force.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Entry {
    /// Section with its name, such as `class interactive`.
    pub section: String,
    /// Key.
    pub key: String,
    /// Value. The source gives secrets as `(masked)`.
    pub value: String,
    /// File that set it; `None` for a default.
    pub file: Option<String>,
    /// Line in the file.
    pub line: Option<u32>,
}

/// Settings in force on the host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Settings {
    /// Revision in force; 0 for settings from the local folder.
    pub revision: u64,
    /// SHA-256 of the configuration in hexadecimal digits.
    pub content: String,
    /// Values after the merge.
    pub entries: Vec<Entry>,
}
