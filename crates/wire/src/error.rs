use std::fmt;

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    /// The bytes are no valid Cap'n Proto message of the schema.
    Malformed,
    /// The message or the named field is longer than its bound.
    TooLong(&'static str),
    /// The named field holds a value that it must not hold.
    Invalid(&'static str),
    /// The protocol version is another one.
    Version(u16),
    /// No accepted key has this id.
    UnknownKey(u32),
    /// The HMAC does not match.
    Unauthentic,
    /// A keyring needs at least one key, and keys are not empty.
    NoKey,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed message"),
            Self::TooLong(field) => write!(f, "{field} is too long"),
            Self::Invalid(field) => write!(f, "{field} is invalid"),
            Self::Version(version) => write!(f, "protocol version {version} is not supported"),
            Self::UnknownKey(id) => write!(f, "key {id:08x} is not known"),
            Self::Unauthentic => f.write_str("the HMAC does not match"),
            Self::NoKey => f.write_str("there is no key"),
        }
    }
}

impl std::error::Error for Error {}

impl From<capnp::Error> for Error {
    fn from(_: capnp::Error) -> Self {
        Self::Malformed
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::Malformed
    }
}
