use capnp::message;
use capnp::serialize_packed;

use crate::digest;
use crate::error;
use crate::keyring;
use crate::limit;
use crate::message as wire_message;
use crate::peer_capnp;

/// Content of a signed datagram.
///
/// A datagram has a protocol version (2 bytes), a key id (4 bytes), a tag (16 bytes) and
/// a body. Integers are little-endian. The tag is the truncated HMAC-SHA-256 of a fixed
/// prefix, version, key id and body, and is checked before the body is parsed. The body
/// is a packed Cap'n Proto `Packet`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Packet {
    /// Membership and configuration revision as seen by the sender.
    Digest(fleet::Digest),
    /// Claim between two owners of idempotency keys.
    Claim(once::Claim),
}

impl Packet {
    /// Encodes and signs the datagram.
    ///
    /// Entries at the end of a digest that do not fit into
    /// [`limit::DATAGRAM_BYTES`] are left out.
    ///
    /// # Errors
    ///
    /// Fails if a field exceeds its limit or is invalid.
    pub fn seal(&self, keys: &keyring::Keyring) -> Result<Vec<u8>, error::Error> {
        match self {
            Self::Claim(claim) => seal(keys, |packet| {
                wire_message::Message::write(claim, packet.init_claim())
            }),
            Self::Digest(digest) => seal_digest(keys, digest),
        }
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed, too long, not authentic or of another
    /// protocol version.
    pub fn open(bytes: &[u8], keys: &keyring::Keyring) -> Result<Self, error::Error> {
        if bytes.len() > limit::DATAGRAM_BYTES {
            return Err(error::Error::TooLong("datagram"));
        }
        let (head, rest) = bytes
            .split_first_chunk::<HEAD_BYTES>()
            .ok_or(error::Error::Malformed)?;
        let (tag, body) = rest
            .split_first_chunk::<TAG_BYTES>()
            .ok_or(error::Error::Malformed)?;
        let version = u16::from_le_bytes([head[0], head[1]]);
        if version != limit::VERSION {
            return Err(error::Error::Version(version));
        }
        let key = u32::from_le_bytes([head[2], head[3], head[4], head[5]]);
        keys.verify(key, &[CONTEXT, head, body], tag)?;
        Self::parse(body)
    }

    /// Decodes the body of a datagram, without a check of its origin.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a packed `Packet`, or if a field exceeds its limit or is
    /// invalid.
    pub fn parse(mut body: &[u8]) -> Result<Self, error::Error> {
        let mut options = message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(BODY_WORDS_MAX));
        options.nesting_limit(wire_message::NESTING_MAX);
        let reader = serialize_packed::read_message(&mut body, options)?;
        let packet: peer_capnp::packet::Reader<'_> = reader.get_root()?;
        match packet.which()? {
            peer_capnp::packet::Digest(digest) => {
                wire_message::Message::read(digest?).map(Self::Digest)
            }
            peer_capnp::packet::Claim(claim) => {
                wire_message::Message::read(claim?).map(Self::Claim)
            }
        }
    }
}

fn seal_digest(keys: &keyring::Keyring, digest: &fleet::Digest) -> Result<Vec<u8>, error::Error> {
    let mut kept = digest.entries.len().min(limit::ENTRIES);
    loop {
        let sealed = seal(keys, |packet| {
            digest::write(digest, kept, packet.init_digest())
        });
        match sealed {
            Err(error::Error::TooLong("datagram")) if kept > 1 => kept -= 1,
            other => return other,
        }
    }
}

fn seal(
    keys: &keyring::Keyring,
    write: impl FnOnce(peer_capnp::packet::Builder<'_>) -> Result<(), error::Error>,
) -> Result<Vec<u8>, error::Error> {
    let mut builder = message::Builder::new_default();
    write(builder.init_root())?;
    let mut body = Vec::with_capacity(limit::DATAGRAM_BYTES);
    serialize_packed::write_message(&mut body, &builder)?;
    if HEAD_BYTES + TAG_BYTES + body.len() > limit::DATAGRAM_BYTES {
        return Err(error::Error::TooLong("datagram"));
    }
    let key = keys.signing_id();
    let mut sealed = Vec::with_capacity(HEAD_BYTES + TAG_BYTES + body.len());
    sealed.extend_from_slice(&limit::VERSION.to_le_bytes());
    sealed.extend_from_slice(&key.to_le_bytes());
    let tag = keys.sign(key, &[CONTEXT, &sealed, &body])?;
    sealed.extend_from_slice(&tag[..TAG_BYTES]);
    sealed.extend_from_slice(&body);
    Ok(sealed)
}

/// Prefix that separates tags of datagrams from other uses of the same key.
const CONTEXT: &[u8] = b"carobbay datagram\0";

/// Length of version and key id.
const HEAD_BYTES: usize = 6;

/// Length of the truncated HMAC.
const TAG_BYTES: usize = 16;

/// Maximum length of an unpacked body in 8-byte words. Two packed bytes can expand to
/// 2 KiB, so the length of the datagram does not limit it sufficiently.
const BODY_WORDS_MAX: usize = 4_096;
