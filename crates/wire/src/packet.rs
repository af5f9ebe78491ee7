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
/// Layout: version (2 bytes), key id (4 bytes), HMAC-SHA-256 over version, key
/// id and body truncated to 16 bytes, then the body as a packed Cap'n Proto
/// `Packet`. Integers are little-endian. The HMAC is checked before the body
/// is parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Packet {
    /// Membership and configuration revision.
    Digest(fleet::Digest),
    /// Claim of an owner of idempotency keys.
    Claim(once::Claim),
}

impl Packet {
    /// Encodes and signs the datagram.
    ///
    /// Entries at the end of a digest that do not fit are left out.
    ///
    /// # Errors
    ///
    /// Reports a field above its bound.
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
    /// Reports whatever is not an authentic datagram within the bounds.
    pub fn open(bytes: &[u8], keys: &keyring::Keyring) -> Result<Self, error::Error> {
        if bytes.len() > limit::DATAGRAM_BYTES {
            return Err(error::Error::TooLong("datagram"));
        }
        let (head, rest) = bytes
            .split_first_chunk::<HEAD>()
            .ok_or(error::Error::Malformed)?;
        let (tag, body) = rest
            .split_first_chunk::<TAG>()
            .ok_or(error::Error::Malformed)?;
        let version = u16::from_le_bytes([head[0], head[1]]);
        if version != limit::VERSION {
            return Err(error::Error::Version(version));
        }
        let key = u32::from_le_bytes([head[2], head[3], head[4], head[5]]);
        keys.verify(key, &[CONTEXT, head, body], tag)?;
        Self::parse(body)
    }

    /// Decodes the body of a datagram.
    ///
    /// # Errors
    ///
    /// Reports whatever is not a packed `Packet` within the bounds.
    pub fn parse(mut body: &[u8]) -> Result<Self, error::Error> {
        let mut options = message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(BODY_WORDS));
        options.nesting_limit(wire_message::NESTING);
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
    if HEAD + TAG + body.len() > limit::DATAGRAM_BYTES {
        return Err(error::Error::TooLong("datagram"));
    }
    let key = keys.signing_id();
    let mut sealed = Vec::with_capacity(HEAD + TAG + body.len());
    sealed.extend_from_slice(&limit::VERSION.to_le_bytes());
    sealed.extend_from_slice(&key.to_le_bytes());
    let tag = keys.sign(key, &[CONTEXT, &sealed, &body])?;
    sealed.extend_from_slice(&tag[..TAG]);
    sealed.extend_from_slice(&body);
    Ok(sealed)
}

/// Prefix that separates datagrams from other uses of the same key.
const CONTEXT: &[u8] = b"carobbay datagram\0";

/// Length of version and key id in bytes.
const HEAD: usize = 6;

/// Length of the truncated HMAC in bytes.
const TAG: usize = 16;

/// Bound of an unpacked body in 8-byte words. Packing can expand 2 bytes to
/// 2 KiB, so the length of the datagram alone is no bound.
const BODY_WORDS: usize = 4_096;
