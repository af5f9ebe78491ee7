use std::fmt;

/// What decided a part of an [`crate::Resolution`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// A setting, given or by default. `conf::Outcome::origin` tells the file.
    Setting(conf::Place),
    /// The request itself.
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
