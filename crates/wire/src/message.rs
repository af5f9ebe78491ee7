use capnp::message;
use capnp::serialize;
use capnp::traits;

use crate::error;
use crate::limit;

/// Message with an encoding in Cap'n Proto.
pub trait Message: Sized {
    /// Type that is generated from the schema.
    type Owned: traits::Owned;

    /// Writes the fields of the message.
    ///
    /// # Errors
    ///
    /// Fails if a field exceeds its limit or is invalid.
    fn write(
        &self,
        builder: <Self::Owned as traits::Owned>::Builder<'_>,
    ) -> Result<(), error::Error>;

    /// Reads the fields of a message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed or a field exceeds its limit or is invalid.
    fn read(reader: <Self::Owned as traits::Owned>::Reader<'_>) -> Result<Self, error::Error>;
}

/// Encodes a message without packing.
///
/// # Errors
///
/// Fails if a field exceeds its limit or is invalid.
pub fn encode<M: Message>(message: &M) -> Result<Vec<u8>, error::Error> {
    let mut builder = message::Builder::new_default();
    message.write(builder.init_root())?;
    Ok(serialize::write_message_to_words(&builder))
}

/// Decodes a message that is not packed.
///
/// # Errors
///
/// Fails if the message is malformed or too long, or if a field exceeds its limit or
/// is invalid.
pub fn decode<M: Message>(mut bytes: &[u8]) -> Result<M, error::Error> {
    if bytes.len() > limit::MESSAGE_WORDS * size_of::<u64>() {
        return Err(error::Error::TooLong("message"));
    }
    let reader = serialize::read_message(&mut bytes, options())?;
    M::read(reader.get_root()?)
}

/// Returns reader options that limit the size and the depth of a message.
fn options() -> message::ReaderOptions {
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit::MESSAGE_WORDS));
    options.nesting_limit(NESTING_MAX);
    options
}

/// Maximum depth of nested structs and lists; the schema needs 5.
pub(crate) const NESTING_MAX: i32 = 16;
