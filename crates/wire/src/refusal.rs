use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::refusal;

/// Refusal of an ask or a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Name of the error kind, as in error responses.
    pub kind: String,
    /// Explanation for the caller.
    pub message: String,
    /// Delay after which a retry may succeed, in milliseconds, if one is known.
    pub retry_after_ms: Option<u64>,
    /// Time that the ask was queued before the refusal, in milliseconds.
    pub wait_ms: u32,
}

impl Refusal {
    /// Creates a refusal without a retry delay and with a wait of 0.
    pub fn new(kind: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            message: message.into(),
            retry_after_ms: None,
            wait_ms: 0,
        }
    }
}

impl message::Message for Refusal {
    type Owned = refusal::Owned;

    fn write(&self, mut builder: refusal::Builder<'_>) -> Result<(), error::Error> {
        builder.set_kind(field::check(self.kind.as_str(), limit::NAME_BYTES, "kind")?);
        let message = field::check(
            self.message.as_str(),
            limit::REFUSAL_MESSAGE_BYTES,
            "message",
        )?;
        builder.set_message(message);
        if let Some(delay) = self.retry_after_ms {
            builder.reborrow().init_retry_after_ms().set_some(delay);
        }
        builder.set_wait_ms(self.wait_ms);
        Ok(())
    }

    fn read(reader: refusal::Reader<'_>) -> Result<Self, error::Error> {
        let retry_after_ms = match reader.get_retry_after_ms().which()? {
            refusal::retry_after_ms::None(()) => None,
            refusal::retry_after_ms::Some(delay) => Some(delay),
        };
        Ok(Self {
            kind: field::text(reader.get_kind(), limit::NAME_BYTES, "kind")?,
            message: field::text(
                reader.get_message(),
                limit::REFUSAL_MESSAGE_BYTES,
                "message",
            )?,
            retry_after_ms,
            wait_ms: reader.get_wait_ms(),
        })
    }
}
