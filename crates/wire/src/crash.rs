use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::blame;

/// Report of a request that was in flight when an endpoint crashed. Its name in the
/// schema is `Blame`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Name of the pool of the endpoint.
    pub pool: String,
    /// Hash of the whole request.
    pub fingerprint: u64,
    /// Name of the endpoint that crashed.
    pub endpoint: String,
    /// Number of distinct endpoints that have crashed with the request in flight, as
    /// far as the sender knows.
    pub count: u32,
    /// Hash of the leading part of the prompt if that may have caused the crash, which
    /// was checked by a probe; 0 otherwise, and from hosts of builds without it.
    pub prefix: u64,
}

impl message::Message for Crash {
    type Owned = blame::Owned;

    fn write(&self, mut builder: blame::Builder<'_>) -> Result<(), error::Error> {
        builder.set_pool(field::check(self.pool.as_str(), limit::NAME_BYTES, "pool")?);
        builder.set_fingerprint(self.fingerprint);
        let endpoint = field::check(self.endpoint.as_str(), limit::NAME_BYTES, "endpoint")?;
        builder.set_endpoint(endpoint);
        builder.set_count(self.count);
        builder.set_prefix(self.prefix);
        Ok(())
    }

    fn read(reader: blame::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            pool: field::text(reader.get_pool(), limit::NAME_BYTES, "pool")?,
            fingerprint: reader.get_fingerprint(),
            endpoint: field::text(reader.get_endpoint(), limit::NAME_BYTES, "endpoint")?,
            count: reader.get_count(),
            prefix: reader.get_prefix(),
        })
    }
}
