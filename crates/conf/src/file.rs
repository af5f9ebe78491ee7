/// One settings file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct File {
    /// Name; files are merged in the order of their names.
    pub name: String,
    /// Content.
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
