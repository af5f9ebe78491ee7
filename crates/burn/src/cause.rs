/// Why a request missed its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It waited too long in the queue.
    Queue,
    /// The endpoint was slow or failed.
    Endpoint,
    /// An earlier attempt used up the time.
    Retry,
    /// The router refused it.
    Refusal,
}

impl Cause {
    /// Lists every cause.
    pub const ALL: [Self; 4] = [Self::Queue, Self::Endpoint, Self::Retry, Self::Refusal];

    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Endpoint => "endpoint",
            Self::Retry => "retry",
            Self::Refusal => "refusal",
        }
    }
}
