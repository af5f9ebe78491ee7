use crate::error;
use crate::message;
use crate::peer_capnp::{self, done};

/// End of a granted ask. The variants correspond to those of `pool::Outcome`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Finish {
    /// The whole response was delivered.
    Complete,
    /// The caller disconnected or the entry host cancelled the request.
    Cancelled,
    /// The endpoint refused the request without running it.
    Refused,
    /// No connection to the endpoint could be made.
    Unreachable,
    /// The endpoint failed and may have received the request.
    Failed,
    /// The request was not sent, for instance because the grant came too late.
    Unused,
}

/// Report of the end of a granted ask, which releases its slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Done {
    /// Id of the ask.
    pub id: u64,
    /// Whether the request ran, and how it ended.
    pub result: Finish,
    /// Number of generated output tokens, whether delivered or not.
    pub tokens: u32,
    /// Time for which the endpoint wants no requests, in milliseconds; 0 for none, and
    /// from hosts of builds without it.
    pub pause_ms: u32,
    /// Whether the endpoint answered, so that a failure is no crash. `false` from hosts
    /// of builds without it, which leave that open.
    pub answered: bool,
}

impl message::Message for Done {
    type Owned = done::Owned;

    fn write(&self, mut builder: done::Builder<'_>) -> Result<(), error::Error> {
        builder.set_id(self.id);
        builder.set_result(self.result.into());
        builder.set_tokens(self.tokens);
        builder.set_pause_ms(self.pause_ms);
        builder.set_answered(self.answered);
        Ok(())
    }

    fn read(reader: done::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            id: reader.get_id(),
            result: reader.get_result()?.into(),
            tokens: reader.get_tokens(),
            pause_ms: reader.get_pause_ms(),
            answered: reader.get_answered(),
        })
    }
}

impl From<Finish> for peer_capnp::Result {
    fn from(finish: Finish) -> Self {
        match finish {
            Finish::Complete => Self::Complete,
            Finish::Cancelled => Self::Cancelled,
            Finish::Refused => Self::Refused,
            Finish::Unreachable => Self::Unreachable,
            Finish::Failed => Self::Failed,
            Finish::Unused => Self::Unused,
        }
    }
}

impl From<peer_capnp::Result> for Finish {
    fn from(result: peer_capnp::Result) -> Self {
        match result {
            peer_capnp::Result::Complete => Self::Complete,
            peer_capnp::Result::Cancelled => Self::Cancelled,
            peer_capnp::Result::Refused => Self::Refused,
            peer_capnp::Result::Unreachable => Self::Unreachable,
            peer_capnp::Result::Failed => Self::Failed,
            peer_capnp::Result::Unused => Self::Unused,
        }
    }
}
