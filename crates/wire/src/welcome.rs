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
    /// Start of its process lifetime in Unix milliseconds.
    pub incarnation: u64,
    /// Random bytes, new for each connection.
    pub nonce: [u8; limit::NONCE_BYTES],
    /// Id of the key that both sides use.
    pub key: u32,
    /// HMAC over the hello frame and this message with a proof of zeros.
    pub proof: [u8; 32],
}

impl Welcome {
    /// Sets the proof for the hello frame that the message answers.
    ///
    /// # Errors
    ///
    /// Reports an unknown key and a field above its bound.
    pub fn sign(&mut self, keys: &keyring::Keyring, hello: &[u8]) -> Result<(), error::Error> {
        let bare = self.bare()?;
        self.proof = keys.sign(self.key, &[CONTEXT, hello, &bare])?;
        Ok(())
    }

    /// Checks the proof for the hello frame that the message answers.
    ///
    /// # Errors
    ///
    /// Reports an unknown key and a proof that differs.
    pub fn verify(&self, keys: &keyring::Keyring, hello: &[u8]) -> Result<(), error::Error> {
        let bare = self.bare()?;
        keys.verify(self.key, &[CONTEXT, hello, &bare], &self.proof)
    }

    /// Encodes the message with a proof of zeros.
    fn bare(&self) -> Result<Vec<u8>, error::Error> {
        let mut bare = self.clone();
        bare.proof = [0; 32];
        message::encode(&bare)
    }
}

impl message::Message for Welcome {
    type Owned = welcome::Owned;

    fn write(&self, mut builder: welcome::Builder<'_>) -> Result<(), error::Error> {
        builder.set_version(self.version);
        builder.set_name(field::fits(self.name.as_str(), limit::NAME_BYTES, "name")?);
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
