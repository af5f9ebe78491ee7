use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::ask;

/// Request for a slot at an endpoint, sent by the entry host to the home host of a
/// shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Name of the pool that serves the request.
    pub pool: String,
    /// Index of the shard within the pool.
    pub shard: u32,
    /// Id that the entry host chooses, unique within its process lifetime, so that
    /// reports about a grant remain valid after a reconnect.
    pub id: u64,
    /// Name of the request's class.
    pub class: String,
    /// Key of the team; 0 for anonymous callers.
    pub team: u32,
    /// Hash of the caller within its team.
    pub caller: u64,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum output length in tokens, if the caller set one.
    pub max_tokens: Option<u32>,
    /// Hash of the leading part of the prompt; 0 if there is none.
    pub prefix: u64,
    /// Hash of the whole request; 0 if there is none.
    pub fingerprint: u64,
    /// Time left until the deadline, in milliseconds.
    pub budget_ms: u64,
    /// Number of earlier attempts of the same request.
    pub attempt: u16,
    /// Name of the endpoint at which the last attempt failed; `None` on the first
    /// attempt or if no endpoint is to be avoided.
    pub avoid: Option<String>,
}

impl message::Message for Ask {
    type Owned = ask::Owned;

    fn write(&self, mut builder: ask::Builder<'_>) -> Result<(), error::Error> {
        builder.set_pool(field::check(self.pool.as_str(), limit::NAME_BYTES, "pool")?);
        builder.set_shard(self.shard);
        builder.set_id(self.id);
        builder.set_class(field::check(
            self.class.as_str(),
            limit::NAME_BYTES,
            "class",
        )?);
        builder.set_team(self.team);
        builder.set_caller(self.caller);
        builder.set_prompt_tokens(self.prompt_tokens);
        if let Some(tokens) = self.max_tokens {
            builder.reborrow().init_max_tokens().set_some(tokens);
        }
        builder.set_prefix(self.prefix);
        builder.set_fingerprint(self.fingerprint);
        builder.set_budget_ms(self.budget_ms);
        builder.set_attempt(self.attempt);
        if let Some(avoid) = &self.avoid {
            builder.set_avoid(field::check(avoid.as_str(), limit::NAME_BYTES, "avoid")?);
        }
        Ok(())
    }

    fn read(reader: ask::Reader<'_>) -> Result<Self, error::Error> {
        let max_tokens = match reader.get_max_tokens().which()? {
            ask::max_tokens::None(()) => None,
            ask::max_tokens::Some(tokens) => Some(tokens),
        };
        let avoid = field::text(reader.get_avoid(), limit::NAME_BYTES, "avoid")?;
        Ok(Self {
            pool: field::text(reader.get_pool(), limit::NAME_BYTES, "pool")?,
            shard: reader.get_shard(),
            id: reader.get_id(),
            class: field::text(reader.get_class(), limit::NAME_BYTES, "class")?,
            team: reader.get_team(),
            caller: reader.get_caller(),
            prompt_tokens: reader.get_prompt_tokens(),
            max_tokens,
            prefix: reader.get_prefix(),
            fingerprint: reader.get_fingerprint(),
            budget_ms: reader.get_budget_ms(),
            attempt: reader.get_attempt(),
            avoid: Some(avoid).filter(|name| !name.is_empty()),
        })
    }
}
