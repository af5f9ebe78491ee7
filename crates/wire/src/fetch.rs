use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::fetch;

/// Request for the configuration files that differ from those of the sender.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fetch {
    /// Names of the files that the sender has, with the SHA-256 of their contents.
    pub known: Vec<(String, [u8; 32])>,
}

impl message::Message for Fetch {
    type Owned = fetch::Owned;

    fn write(&self, builder: fetch::Builder<'_>) -> Result<(), error::Error> {
        let count = field::count(self.known.len(), limit::FILES, "known")?;
        let mut list = builder.init_known(count);
        for (index, (name, hash)) in (0..).zip(&self.known) {
            let mut known = list.reborrow().get(index);
            known.set_name(field::check(name.as_str(), limit::NAME_BYTES, "file name")?);
            known.set_hash(hash);
        }
        Ok(())
    }

    fn read(reader: fetch::Reader<'_>) -> Result<Self, error::Error> {
        let list = reader.get_known()?;
        let count = field::count(list.len() as usize, limit::FILES, "known")?;
        let mut known = Vec::with_capacity(count as usize);
        for entry in list {
            let name = field::text(entry.get_name(), limit::NAME_BYTES, "file name")?;
            known.push((name, field::array(entry.get_hash(), "hash")?));
        }
        Ok(Self { known })
    }
}
