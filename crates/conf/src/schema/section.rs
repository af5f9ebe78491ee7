use crate::schema::key;
use crate::schema::naming;

/// One kind of section, such as `[host]` or `[class NAME]`.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// First word of the header.
    pub name: &'static str,
    /// Form of the name that follows in the header, if there is one.
    pub naming: naming::Naming,
    /// Description in the settings reference, in Markdown.
    pub doc: &'static str,
    /// Keys, in the order of the settings reference.
    pub keys: &'static [key::Key],
}

impl Section {
    /// Returns the key with this name; `None` if it is unknown.
    pub fn key(&self, name: &str) -> Option<&'static key::Key> {
        self.keys.iter().find(|key| key.name == name)
    }

    /// Returns the header with brackets and `NAME` in place of the name.
    pub fn title(&self) -> String {
        match self.naming {
            naming::Naming::None => format!("[{}]", self.name),
            naming::Naming::Plain | naming::Naming::Model => format!("[{} NAME]", self.name),
        }
    }
}
