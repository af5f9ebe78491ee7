use crate::error;
use crate::grant;
use crate::message;
use crate::peer_capnp::reply;
use crate::refusal;

/// Answer of the home host to an [`crate::Ask`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The request may be sent to the endpoint.
    Grant(grant::Grant),
    /// The request will not be granted.
    Refusal(refusal::Refusal),
}

impl message::Message for Reply {
    type Owned = reply::Owned;

    fn write(&self, builder: reply::Builder<'_>) -> Result<(), error::Error> {
        match self {
            Self::Grant(grant) => grant.write(builder.init_grant()),
            Self::Refusal(refusal) => refusal.write(builder.init_refusal()),
        }
    }

    fn read(reader: reply::Reader<'_>) -> Result<Self, error::Error> {
        match reader.which()? {
            reply::Grant(grant) => grant::Grant::read(grant?).map(Self::Grant),
            reply::Refusal(refusal) => refusal::Refusal::read(refusal?).map(Self::Refusal),
        }
    }
}
