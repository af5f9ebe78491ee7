use std::fmt;

use crate::source;

/// Explains one property of a [`crate::Resolution`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reason {
    /// Name of the property, such as `class`.
    pub property: &'static str,
    /// Value as text; durations have a unit.
    pub value: String,
    /// Setting or part of the request that decided the value.
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
