/// One settings file, read by [`crate::folder::read`] or built by a program.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct File {
    /// File name without a folder; files are merged in the byte order of their
    /// names.
    pub name: String,
    /// Content, in INI format.
    pub text: String,
}

impl File {
    /// Returns a file with this name and content.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}
