/// File and line that a value comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: u32,
}
