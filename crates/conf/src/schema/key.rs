use crate::schema::kind;
use crate::schema::presence;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name.
    pub name: &'static str,
    /// Type, unit and range of the value.
    pub kind: kind::Kind,
    /// What applies when the key is absent.
    pub presence: presence::Presence,
    /// One sentence about the key.
    pub doc: &'static str,
}

impl Key {
    /// Returns a key that must be given.
    pub const fn required(name: &'static str, kind: kind::Kind, doc: &'static str) -> Self {
        Self::with(name, kind, presence::Presence::Required, doc)
    }

    /// Returns a key that may be absent.
    pub const fn optional(name: &'static str, kind: kind::Kind, doc: &'static str) -> Self {
        Self::with(name, kind, presence::Presence::Optional, doc)
    }

    /// Returns a key with a default.
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

    /// Returns the text of the default, if there is one.
    pub const fn default_text(&self) -> Option<&'static str> {
        match self.presence {
            presence::Presence::Default(text) => Some(text),
            presence::Presence::Required | presence::Presence::Optional => None,
        }
    }
}
