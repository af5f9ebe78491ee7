use std::fmt;

use crate::schema;

/// Header of a known section.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Header {
    /// Name of the section in the schema.
    pub section: &'static str,
    /// Name after the section; empty for sections without one.
    pub name: String,
}

impl Header {
    /// Returns the header of a section without a name.
    pub(crate) const fn plain(section: &'static str) -> Self {
        Self {
            section,
            name: String::new(),
        }
    }

    /// Parses the text between the brackets.
    ///
    /// # Errors
    ///
    /// Returns an error if the section is unknown or its name is missing, not
    /// allowed or malformed.
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        let (word, name) = match text.split_once(char::is_whitespace) {
            Some((word, name)) => (word, name.trim()),
            None => (text, ""),
        };
        let Some(section) = schema::section(word) else {
            return Err(Error::Unknown(word.to_owned()));
        };
        match section.naming {
            schema::Naming::None if name.is_empty() => {}
            schema::Naming::None => return Err(Error::Unnamed(section.name)),
            naming if naming.accepts(name) => {}
            naming => return Err(Error::Name(section.name, naming.expected())),
        }
        Ok(Self {
            section: section.name,
            name: name.to_owned(),
        })
    }
}

impl fmt::Display for Header {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.name.as_str() {
            "" => f.write_str(self.section),
            name => write!(f, "{} {name}", self.section),
        }
    }
}

/// Reason that a header is invalid.
pub(crate) enum Error {
    /// The section is not in the schema.
    Unknown(String),
    /// The section takes no name.
    Unnamed(&'static str),
    /// The section needs a name of this form.
    Name(&'static str, String),
}
