/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// KV cache capacity of one engine in tokens.
    pub kv_capacity_tokens: u64,
}
