/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One sentence per line.
    Text,
    /// One JSON object per line.
    Json,
}
