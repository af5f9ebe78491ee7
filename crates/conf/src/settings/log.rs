use crate::settings::format;

/// The `[log]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// Format of the lines.
    pub format: format::Format,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or
    /// `trace`.
    pub level: String,
}
