use crate::settings::format;

/// The `[log]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// Format.
    pub format: format::Format,
    /// Level.
    pub level: String,
}
