use core::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};

/// Characters of a value that are encoded: all but the unreserved ones of RFC 3986,
/// section 2.3, and the slash, which section 3.4 allows in a query.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Query of a request target. Values are percent-encoded, a space as `%20`, which
/// receivers decode whether or not they take `+` for a space.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query(String);

impl Query {
    /// Returns a query with one field. The name is written as it is.
    pub fn new(name: &'static str, value: impl fmt::Display) -> Self {
        Self(String::new()).with(name, value)
    }

    /// Adds a field. The name is written as it is.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        let value = value.to_string();
        if !self.0.is_empty() {
            self.0.push('&');
        }
        self.0.push_str(name);
        self.0.push('=');
        self.0
            .extend(percent_encoding::utf8_percent_encode(&value, ENCODED));
        self
    }
}

impl fmt::Display for Query {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
