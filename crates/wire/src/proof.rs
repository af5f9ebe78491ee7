use crate::error;
use crate::field;
use crate::keyring;
use crate::message;
use crate::peer_capnp::proof;

/// Third and last handshake frame, from the connecting side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Proof {
    /// HMAC-SHA-256 of a fixed prefix, the hello frame and the welcome frame.
    pub proof: [u8; 32],
}

impl Proof {
    /// Creates the proof for the frames `hello` and `welcome` with the key `key`.
    ///
    /// # Errors
    ///
    /// Fails if the keyring has no such key.
    pub fn sign(
        keys: &keyring::Keyring,
        key: u32,
        hello: &[u8],
        welcome: &[u8],
    ) -> Result<Self, error::Error> {
        let proof = keys.sign(key, &[CONTEXT, hello, welcome])?;
        Ok(Self { proof })
    }

    /// Checks the proof for the frames `hello` and `welcome` with the key `key`.
    ///
    /// # Errors
    ///
    /// Fails if the keyring has no such key or the proof differs.
    pub fn verify(
        &self,
        keys: &keyring::Keyring,
        key: u32,
        hello: &[u8],
        welcome: &[u8],
    ) -> Result<(), error::Error> {
        keys.verify(key, &[CONTEXT, hello, welcome], &self.proof)
    }
}

impl message::Message for Proof {
    type Owned = proof::Owned;

    fn write(&self, mut builder: proof::Builder<'_>) -> Result<(), error::Error> {
        builder.set_proof(&self.proof);
        Ok(())
    }

    fn read(reader: proof::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            proof: field::array(reader.get_proof(), "proof")?,
        })
    }
}

/// Prefix that separates this proof from other uses of the same key.
const CONTEXT: &[u8] = b"carobbay proof\0";
