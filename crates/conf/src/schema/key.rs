use crate::schema::kind;
use crate::schema::presence;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name in the files, unique within its section.
    pub name: &'static str,
    /// Type, unit and range of the value.
    pub kind: kind::Kind,
    /// Meaning of an absent key.
    pub presence: presence::Presence,
    /// Description in the settings reference, in Markdown.
    pub doc: &'static str,
}

impl Key {
    /// Returns a key that every section of its kind must set.
    pub const fn required(name: &'static str, kind: kind::Kind, doc: &'static str) -> Self {
        Self::with(name, kind, presence::Presence::Required, doc)
    }

    /// Returns a key that may be absent and has no default.
    pub const fn optional(name: &'static str, kind: kind::Kind, doc: &'static str) -> Self {
        Self::with(name, kind, presence::Presence::Optional, doc)
    }

    /// Returns a key with a default, given as text that `kind` accepts.
    pub const fn default(
        name: &'static str,
        kind: kind::Kind,
        value: &'static str,
        doc: &'static str,
    ) -> Self {
        Self::with(name, kind, presence::Presence::Default(value), doc)
    }

    const fn with(
        name: &'static str,
        kind: kind::Kind,
        presence: presence::Presence,
        doc: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            presence,
            doc,
        }
    }

    /// Returns the text of the default; `None` for a required or optional key.
    pub const fn default_text(&self) -> Option<&'static str> {
        match self.presence {
            presence::Presence::Default(text) => Some(text),
            presence::Presence::Required | presence::Presence::Optional => None,
        }
    }
}
