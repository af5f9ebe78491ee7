use hmac::{KeyInit, Mac};
use sha2::Digest;
use std::fmt;

use crate::error;

type Hmac = hmac::Hmac<sha2::Sha256>;

struct Key {
    id: u32,
    secret: Vec<u8>,
}

/// Keys that the hosts of a fleet share. The first one signs and all are accepted, so
/// that keys can be rotated.
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Creates a keyring of these secrets, the signing key first.
    ///
    /// # Errors
    ///
    /// Fails if the list or a secret is empty.
    pub fn new<S: AsRef<[u8]>>(secrets: &[S]) -> Result<Self, error::Error> {
        let keys: Vec<Key> = secrets.iter().map(|secret| key(secret.as_ref())).collect();
        if keys.is_empty() || keys.iter().any(|key| key.secret.is_empty()) {
            return Err(error::Error::NoKey);
        }
        Ok(Self { keys })
    }

    /// Returns the id of the signing key.
    pub fn signing_id(&self) -> u32 {
        self.keys[0].id
    }

    /// Returns the ids of all keys, the signing key first.
    pub fn ids(&self) -> Vec<u32> {
        self.keys.iter().map(|key| key.id).collect()
    }

    /// Returns the HMAC-SHA-256 of the concatenated parts under the key `id`.
    ///
    /// # Errors
    ///
    /// Fails if the keyring has no key `id`.
    pub fn sign(&self, id: u32, parts: &[&[u8]]) -> Result<[u8; 32], error::Error> {
        let mac = self.mac(id, parts)?;
        Ok(mac.finalize().into_bytes().into())
    }

    /// Checks in constant time that `tag` is the HMAC of the concatenated parts under
    /// the key `id`, or its first 16 bytes or more.
    ///
    /// # Errors
    ///
    /// Fails if the keyring has no key `id`, or if the tag is shorter than 16 bytes or
    /// differs.
    pub fn verify(&self, id: u32, parts: &[&[u8]], tag: &[u8]) -> Result<(), error::Error> {
        let mac = self.mac(id, parts)?;
        if tag.len() < TAG_BYTES_MIN {
            return Err(error::Error::Unauthentic);
        }
        mac.verify_truncated_left(tag)
            .map_err(|_| error::Error::Unauthentic)
    }

    fn mac(&self, id: u32, parts: &[&[u8]]) -> Result<Hmac, error::Error> {
        let key = self
            .keys
            .iter()
            .find(|key| key.id == id)
            .ok_or(error::Error::UnknownKey(id))?;
        let mut mac = Hmac::new_from_slice(&key.secret).map_err(|_| error::Error::NoKey)?;
        for part in parts {
            mac.update(part);
        }
        Ok(mac)
    }
}

impl fmt::Debug for Keyring {
    /// Writes the ids of the keys, never the secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keyring").field("ids", &self.ids()).finish()
    }
}

fn key(secret: &[u8]) -> Key {
    let mut hash = sha2::Sha256::new();
    hash.update(ID_CONTEXT);
    hash.update(secret);
    let hash: [u8; 32] = hash.finalize().into();
    Key {
        id: u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]),
        secret: secret.to_vec(),
    }
}

/// Prefix that separates key ids from other hashes of the same secret.
const ID_CONTEXT: &[u8] = b"carobbay peer key id\0";

/// Minimum length of an accepted tag.
const TAG_BYTES_MIN: usize = 16;
