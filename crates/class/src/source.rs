use std::fmt;

/// Origin of a property of a [`crate::Resolution`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// A setting, explicit or by default. `conf::Configuration::origin` returns its file.
    Setting(conf::Entry),
    /// The named part of the request.
    Request(&'static str),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setting(place) => place.fmt(f),
            Self::Request(part) => write!(f, "the request's {part}"),
        }
    }
}
