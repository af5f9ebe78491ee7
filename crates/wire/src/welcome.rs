use crate::error;
use crate::field;
use crate::keyring;
use crate::limit;
use crate::message;
use crate::peer_capnp::welcome;

/// Second handshake frame, from the accepting side.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Welcome {
    /// Protocol version.
    pub version: u16,
    /// Name of the accepting host.
    pub name: String,
    /// Start of the accepting host's process in Unix milliseconds.
    pub incarnation: u64,
    /// Random bytes, new for each connection.
    pub nonce: [u8; limit::NONCE_BYTES],
    /// Id of the key that both sides use for their proofs.
    pub key: u32,
    /// HMAC-SHA-256 of a fixed prefix, the hello frame and this message with 32 zero
    /// bytes as its proof.
    pub proof: [u8; 32],
}

impl Welcome {
    /// Sets the proof for the hello frame that this message answers.
    ///
    /// # Errors
    ///
    /// Fails if the keyring lacks the key or a field exceeds its limit.
    pub fn sign(&mut self, keys: &keyring::Keyring, hello: &[u8]) -> Result<(), error::Error> {
        let unsigned = self.encode_unsigned()?;
        self.proof = keys.sign(self.key, &[CONTEXT, hello, &unsigned])?;
        Ok(())
    }

    /// Checks the proof for the hello frame that this message answers.
    ///
    /// # Errors
    ///
    /// Fails if the keyring lacks the key, a field exceeds its limit or the proof
    /// differs.
    pub fn verify(&self, keys: &keyring::Keyring, hello: &[u8]) -> Result<(), error::Error> {
        let unsigned = self.encode_unsigned()?;
        keys.verify(self.key, &[CONTEXT, hello, &unsigned], &self.proof)
    }

    /// Encodes the message with a proof of 32 zero bytes.
    fn encode_unsigned(&self) -> Result<Vec<u8>, error::Error> {
        let mut unsigned = self.clone();
        unsigned.proof = [0; 32];
        message::encode(&unsigned)
    }
}

impl message::Message for Welcome {
    type Owned = welcome::Owned;

    fn write(&self, mut builder: welcome::Builder<'_>) -> Result<(), error::Error> {
        builder.set_version(self.version);
        builder.set_name(field::check(self.name.as_str(), limit::NAME_BYTES, "name")?);
        builder.set_incarnation(self.incarnation);
        builder.set_nonce(&self.nonce);
        builder.set_key(self.key);
        builder.set_proof(&self.proof);
        Ok(())
    }

    fn read(reader: welcome::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            version: reader.get_version(),
            name: field::text(reader.get_name(), limit::NAME_BYTES, "name")?,
            incarnation: reader.get_incarnation(),
            nonce: field::array(reader.get_nonce(), "nonce")?,
            key: reader.get_key(),
            proof: field::array(reader.get_proof(), "proof")?,
        })
    }
}

/// Prefix that separates this proof from other uses of the same key.
const CONTEXT: &[u8] = b"carobbay welcome\0";
