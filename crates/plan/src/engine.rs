use core::ops;

/// Bytes of KV cache per token of the models for which prefixes are weighed. Smaller ones
/// prefill fast. With 327,680 bytes, two deployments served their callers better with the
/// fixed penalties (docs/results.md).
const WEIGHED_TOKEN_BYTES: ops::RangeInclusive<u64> = 65_536..=262_144;

/// Tokens of an event if the configuration does not state them.
const EVENT_TOKENS: u32 = 1;

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// KV cache capacity of one engine in tokens.
    pub kv_capacity_tokens: u64,
    /// Tokens of one event of a stream. Snapshots between hosts state it beside the
    /// plan, because hosts of earlier builds do not expect it here.
    #[serde(skip, default = "event_tokens")]
    pub event_tokens: u32,
    /// Bytes of KV cache per token; 0 if they are not known. Snapshots state it beside
    /// the plan, too.
    #[serde(skip)]
    pub kv_token_bytes: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            kv_capacity_tokens: 0,
            event_tokens: EVENT_TOKENS,
            kv_token_bytes: 0,
        }
    }
}

impl Engine {
    /// Returns whether the rates of each engine are learned and used.
    pub fn learns_rates(&self) -> bool {
        self.weighs_prefix()
    }

    /// Returns whether the endpoint for a prompt is chosen by weighing its cached
    /// prefix against the wait. Other services keep the fixed penalties.
    pub fn weighs_prefix(&self) -> bool {
        WEIGHED_TOKEN_BYTES.contains(&self.kv_token_bytes)
    }
}

const fn event_tokens() -> u32 {
    EVENT_TOKENS
}
