use hmac::{KeyInit, Mac};
use sha2::Digest;
use std::fmt;

use crate::error;

type Hmac = hmac::Hmac<sha2::Sha256>;

struct Key {
    id: u32,
    secret: Vec<u8>,
}

/// Shared keys of the fleet. The first one signs; all are accepted, so that
/// keys can be rotated.
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Returns a keyring with these secrets.
    ///
    /// # Errors
    ///
    /// Reports an empty list and an empty secret.
    pub fn new<S: AsRef<[u8]>>(secrets: &[S]) -> Result<Self, error::Error> {
        let keys: Vec<Key> = secrets.iter().map(|secret| key(secret.as_ref())).collect();
        if keys.is_empty() || keys.iter().any(|key| key.secret.is_empty()) {
            return Err(error::Error::NoKey);
        }
        Ok(Self { keys })
    }

    /// Returns the id of the key that signs.
    pub fn signing_id(&self) -> u32 {
        self.keys[0].id
    }

    /// Lists the ids of all keys, the signing key first.
    pub fn ids(&self) -> Vec<u32> {
        self.keys.iter().map(|key| key.id).collect()
    }

    /// Returns the HMAC-SHA-256 of the concatenated parts under a key.
    ///
    /// # Errors
    ///
    /// Reports an unknown key.
    pub fn sign(&self, id: u32, parts: &[&[u8]]) -> Result<[u8; 32], error::Error> {
        let mac = self.mac(id, parts)?;
        Ok(mac.finalize().into_bytes().into())
    }

    /// Checks an HMAC or its leading 16 bytes or more in constant time.
    ///
    /// # Errors
    ///
    /// Reports an unknown key, a tag below 16 bytes and a tag that differs.
    pub fn verify(&self, id: u32, parts: &[&[u8]], tag: &[u8]) -> Result<(), error::Error> {
        let mac = self.mac(id, parts)?;
        if tag.len() < TAG_MIN {
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
    /// Writes the ids of the keys without the secrets.
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

/// Shortest accepted tag in bytes.
const TAG_MIN: usize = 16;
