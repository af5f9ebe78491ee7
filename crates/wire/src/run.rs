use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::run;
use crate::request;

/// Non-idempotent request, forwarded to the host that owns its idempotency key and
/// alone may send it to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The caller's request.
    pub request: request::Request,
    /// Name of the request's class.
    pub class: String,
    /// Key of the team; 0 for anonymous callers.
    pub team: u32,
    /// Hash of the caller within its team.
    pub caller: u64,
    /// Idempotency key that the caller gave.
    pub key: String,
    /// Hash of the whole request, which reveals a key that is reused for another request.
    pub fingerprint: u64,
    /// Time of the caller's first attempt in Unix milliseconds, if the caller gave it.
    pub request_time_ms: Option<u64>,
    /// Time left until the deadline, in milliseconds.
    pub budget_ms: u64,
}

impl message::Message for Run {
    type Owned = run::Owned;

    fn write(&self, mut builder: run::Builder<'_>) -> Result<(), error::Error> {
        self.request.write(builder.reborrow().init_request())?;
        builder.set_class(field::check(
            self.class.as_str(),
            limit::NAME_BYTES,
            "class",
        )?);
        builder.set_team(self.team);
        builder.set_caller(self.caller);
        builder.set_key(field::check(self.key.as_str(), limit::VALUE_BYTES, "key")?);
        builder.set_fingerprint(self.fingerprint);
        if let Some(time) = self.request_time_ms {
            builder.reborrow().init_request_time_ms().set_some(time);
        }
        builder.set_budget_ms(self.budget_ms);
        Ok(())
    }

    fn read(reader: run::Reader<'_>) -> Result<Self, error::Error> {
        let request_time_ms = match reader.get_request_time_ms().which()? {
            run::request_time_ms::None(()) => None,
            run::request_time_ms::Some(time) => Some(time),
        };
        Ok(Self {
            request: request::Request::read(reader.get_request()?)?,
            class: field::text(reader.get_class(), limit::NAME_BYTES, "class")?,
            team: reader.get_team(),
            caller: reader.get_caller(),
            key: field::text(reader.get_key(), limit::VALUE_BYTES, "key")?,
            fingerprint: reader.get_fingerprint(),
            request_time_ms,
            budget_ms: reader.get_budget_ms(),
        })
    }
}
