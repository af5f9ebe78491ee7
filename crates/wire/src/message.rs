use capnp::message;
use capnp::serialize;
use capnp::traits;

use crate::error;
use crate::limit;

/// A message with a Cap'n Proto form.
pub trait Message: Sized {
    /// Generated type of the message.
    type Owned: traits::Owned;

    /// Writes the message.
    ///
    /// # Errors
    ///
    /// Reports a field above its bound.
    fn write(
        &self,
        builder: <Self::Owned as traits::Owned>::Builder<'_>,
    ) -> Result<(), error::Error>;

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Reports whatever is not a message within the bounds.
    fn read(reader: <Self::Owned as traits::Owned>::Reader<'_>) -> Result<Self, error::Error>;
}

/// Encodes a message without packing.
///
/// # Errors
///
/// Reports a field above its bound.
pub fn encode<M: Message>(message: &M) -> Result<Vec<u8>, error::Error> {
    let mut builder = message::Builder::new_default();
    message.write(builder.init_root())?;
    Ok(serialize::write_message_to_words(&builder))
}

/// Decodes a message without packing.
///
/// # Errors
///
/// Reports whatever is not a message within the bounds.
pub fn decode<M: Message>(mut bytes: &[u8]) -> Result<M, error::Error> {
    if bytes.len() > limit::MESSAGE_WORDS * size_of::<u64>() {
        return Err(error::Error::TooLong("message"));
    }
    let reader = serialize::read_message(&mut bytes, options())?;
    M::read(reader.get_root()?)
}

/// Returns reader options that bound the size and the depth of a message.
fn options() -> message::ReaderOptions {
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit::MESSAGE_WORDS));
    options.nesting_limit(NESTING);
    options
}

/// Depth of nested structs and lists; the schema needs 5.
pub(crate) const NESTING: i32 = 16;
