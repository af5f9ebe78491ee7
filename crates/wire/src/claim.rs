use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::{ack, claim};

impl message::Message for once::Claim {
    type Owned = claim::Owned;

    fn write(&self, mut builder: claim::Builder<'_>) -> Result<(), error::Error> {
        builder.set_name(field::check(self.name.as_str(), limit::NAME_BYTES, "name")?);
        builder.set_incarnation(self.incarnation);
        builder.set_epoch(self.epoch);
        builder.set_serial(self.serial);
        if let Some(ack) = self.ack {
            write_ack(ack, builder.init_ack().init_some());
        }
        Ok(())
    }

    fn read(reader: claim::Reader<'_>) -> Result<Self, error::Error> {
        let ack = match reader.get_ack().which()? {
            claim::ack::None(()) => None,
            claim::ack::Some(ack) => Some(read_ack(ack?)),
        };
        Ok(Self {
            name: field::text(reader.get_name(), limit::NAME_BYTES, "name")?,
            incarnation: reader.get_incarnation(),
            epoch: reader.get_epoch(),
            serial: reader.get_serial(),
            ack,
        })
    }
}

fn write_ack(ack: once::Ack, mut builder: ack::Builder<'_>) {
    builder.set_incarnation(ack.incarnation);
    builder.set_epoch(ack.epoch);
    builder.set_serial(ack.serial);
}

fn read_ack(reader: ack::Reader<'_>) -> once::Ack {
    once::Ack {
        incarnation: reader.get_incarnation(),
        epoch: reader.get_epoch(),
        serial: reader.get_serial(),
    }
}
