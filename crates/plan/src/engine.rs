/// What is published about the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// Tokens that the memory of one engine holds.
    pub kv_capacity_tokens: u64,
}
