use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::role;

/// SHA-256 of the accepted bearer keys. Several of a role allow rotation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// Keys that may read.
    pub read: Vec<[u8; 32]>,
    /// Keys that may read and change.
    pub operate: Vec<[u8; 32]>,
}

impl Keys {
    /// Returns the role of a bearer key. The time that this takes does not
    /// depend on how much of a hash matches.
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

/// Compares with every hash, so that the position of a match does not show.
fn contains(hashes: &[[u8; 32]], hash: &[u8; 32]) -> subtle::Choice {
    hashes.iter().fold(subtle::Choice::from(0), |found, known| {
        found | known.ct_eq(hash)
    })
}
