use std::fmt;

/// Reason why a message cannot be encoded, decoded or authenticated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    /// The bytes are not a valid Cap'n Proto message of the schema.
    Malformed,
    /// The message or the named field exceeds its limit.
    TooLong(&'static str),
    /// The named field has a value that is not allowed.
    Invalid(&'static str),
    /// The message has this protocol version, which is not supported.
    Version(u16),
    /// The keyring has no key with this id.
    UnknownKey(u32),
    /// The HMAC does not match.
    Unauthentic,
    /// The keyring would have no key or an empty one.
    NoKey,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed message"),
            Self::TooLong(field) => write!(f, "{field} exceeds the limit"),
            Self::Invalid(field) => write!(f, "{field} is invalid"),
            Self::Version(version) => write!(f, "protocol version {version} is not supported"),
            Self::UnknownKey(id) => write!(f, "the keyring has no key with id {id:08x}"),
            Self::Unauthentic => f.write_str("the HMAC does not match"),
            Self::NoKey => f.write_str("the keyring has no key or an empty key"),
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
