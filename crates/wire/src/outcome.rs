use crate::answer;
use crate::error;
use crate::message;
use crate::peer_capnp::outcome;
use crate::refusal;

/// Outcome of a forwarded run, the answer to a [`crate::Run`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The endpoint's complete response.
    Answer(answer::Answer),
    /// There is no response; the error kind states whether the request ran.
    Refusal(refusal::Refusal),
}

impl message::Message for Outcome {
    type Owned = outcome::Owned;

    fn write(&self, builder: outcome::Builder<'_>) -> Result<(), error::Error> {
        match self {
            Self::Answer(answer) => answer.write(builder.init_answer()),
            Self::Refusal(refusal) => refusal.write(builder.init_refusal()),
        }
    }

    fn read(reader: outcome::Reader<'_>) -> Result<Self, error::Error> {
        match reader.which()? {
            outcome::Answer(answer) => answer::Answer::read(answer?).map(Self::Answer),
            outcome::Refusal(refusal) => refusal::Refusal::read(refusal?).map(Self::Refusal),
        }
    }
}
