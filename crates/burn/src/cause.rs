/// Why a request missed its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request spent more time in the queue than at the endpoint.
    Queue,
    /// The endpoint was slow, failed or did not deliver the whole answer.
    Endpoint,
    /// The time of failed attempts delayed the answer, or no retry was left.
    Retry,
    /// The router refused the request.
    Refusal,
}

impl Cause {
    /// All causes, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Queue, Self::Endpoint, Self::Retry, Self::Refusal];

    /// Returns the name in reports, which equals the serialized form.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Endpoint => "endpoint",
            Self::Retry => "retry",
            Self::Refusal => "refusal",
        }
    }
}
