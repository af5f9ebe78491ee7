use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::role;

/// SHA-256 hashes of the accepted bearer keys. A role may have several, so that keys
/// can be rotated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// Hashes of keys with the role [`role::Role::Read`].
    pub read: Vec<[u8; 32]>,
    /// Hashes of keys with the role [`role::Role::Operate`].
    pub operate: Vec<[u8; 32]>,
}

impl Keys {
    /// Returns the role of a bearer key, or `None` for an unknown key. The comparison
    /// takes the same time however much of a hash matches.
    pub fn role(&self, key: &[u8]) -> Option<role::Role> {
        let hash: [u8; 32] = sha2::Sha256::digest(key).into();
        let read = contains(&self.read, &hash);
        let operate = contains(&self.operate, &hash);
        if bool::from(operate) {
            return Some(role::Role::Operate);
        }
        bool::from(read).then_some(role::Role::Read)
    }
}

/// Compares with every hash, so that the time does not reveal the position of a
/// match.
fn contains(hashes: &[[u8; 32]], hash: &[u8; 32]) -> subtle::Choice {
    hashes.iter().fold(subtle::Choice::from(0), |found, known| {
        found | known.ct_eq(hash)
    })
}
