/// File and line that set a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Name of the file, as in [`crate::File::name`].
    pub file: String,
    /// Line, counted from 1.
    pub line: u32,
}
