use std::fmt;

use crate::source;

/// One line of the explanation of an [`crate::Resolution`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reason {
    /// What was decided, such as `class`.
    pub property: &'static str,
    /// Its value.
    pub value: String,
    /// What decided it.
    pub source: source::Source,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {} because of {}",
            self.property, self.value, self.source
        )
    }
}
