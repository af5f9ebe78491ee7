use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::hello;

/// First handshake frame, from the connecting side.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Protocol version.
    pub version: u16,
    /// Name of the connecting host.
    pub name: String,
    /// Start of the connecting host's process in Unix milliseconds.
    pub incarnation: u64,
    /// Random bytes, new for each connection.
    pub nonce: [u8; limit::NONCE_BYTES],
    /// Ids of the keys that the connecting host accepts, its signing key first.
    pub keys: Vec<u32>,
}

impl message::Message for Hello {
    type Owned = hello::Owned;

    fn write(&self, mut builder: hello::Builder<'_>) -> Result<(), error::Error> {
        builder.set_version(self.version);
        builder.set_name(field::check(self.name.as_str(), limit::NAME_BYTES, "name")?);
        builder.set_incarnation(self.incarnation);
        builder.set_nonce(&self.nonce);
        let count = field::count(self.keys.len(), limit::KEYS, "keys")?;
        let mut keys = builder.init_keys(count);
        for (index, &key) in (0..).zip(&self.keys) {
            keys.set(index, key);
        }
        Ok(())
    }

    fn read(reader: hello::Reader<'_>) -> Result<Self, error::Error> {
        let keys = reader.get_keys()?;
        field::count(keys.len() as usize, limit::KEYS, "keys")?;
        Ok(Self {
            version: reader.get_version(),
            name: field::text(reader.get_name(), limit::NAME_BYTES, "name")?,
            incarnation: reader.get_incarnation(),
            nonce: field::array(reader.get_nonce(), "nonce")?,
            keys: keys.iter().collect(),
        })
    }
}
