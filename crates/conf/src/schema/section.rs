use crate::schema::key;
use crate::schema::naming;

/// One kind of section.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Name in the header.
    pub name: &'static str,
    /// Whether the header carries a second name, and of which form.
    pub naming: naming::Naming,
    /// One sentence about the section.
    pub doc: &'static str,
    /// Keys, in the order of the settings reference.
    pub keys: &'static [key::Key],
}

impl Section {
    /// Returns the key with this name.
    pub fn key(&self, name: &str) -> Option<&'static key::Key> {
        self.keys.iter().find(|key| key.name == name)
    }

    /// Returns the header as the settings reference shows it.
    pub fn title(&self) -> String {
        match self.naming {
            naming::Naming::None => format!("[{}]", self.name),
            naming::Naming::Plain | naming::Naming::Model => format!("[{} NAME]", self.name),
        }
    }
}
