use crate::schema::kind;
use crate::schema::need;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name.
    pub name: &'static str,
    /// Type, unit and range of the value.
    pub kind: kind::Kind,
    /// What applies when the key is absent.
    pub need: need::Need,
    /// One sentence about the key.
    pub doc: &'static str,
}

impl Key {
    /// Returns a key that must be given.
    pub const fn required(name: &'static str, kind: kind::Kind, doc: &'static str) -> Self {
        Self::with(name, kind, need::Need::Required, doc)
    }

    /// Returns a key that may be absent.
    pub const fn optional(name: &'static str, kind: kind::Kind, doc: &'static str) -> Self {
        Self::with(name, kind, need::Need::Optional, doc)
    }

    /// Returns a key with a default.
    pub const fn default(
        name: &'static str,
        kind: kind::Kind,
        value: &'static str,
        doc: &'static str,
    ) -> Self {
        Self::with(name, kind, need::Need::Default(value), doc)
    }

    const fn with(
        name: &'static str,
        kind: kind::Kind,
        need: need::Need,
        doc: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            need,
            doc,
        }
    }

    /// Returns the text of the default, if there is one.
    pub const fn default_text(&self) -> Option<&'static str> {
        match self.need {
            need::Need::Default(text) => Some(text),
            need::Need::Required | need::Need::Optional => None,
        }
    }
}
