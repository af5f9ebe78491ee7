/// What reserved bytes are used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Request heads that are incomplete.
    Head,
    /// Request bodies.
    Body,
    /// Bytes that a caller sent while an earlier request is not answered.
    Pipelined,
    /// Answers that the caller has not read.
    Answer,
    /// State of an open connection.
    Connection,
}

impl Kind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 5] = [
        Self::Head,
        Self::Body,
        Self::Pipelined,
        Self::Answer,
        Self::Connection,
    ];

    /// Returns the name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Pipelined => "pipelined",
            Self::Answer => "answer",
            Self::Connection => "connection",
        }
    }
}

/// Bytes by kind, indexed by `Kind as usize`.
pub type Held = [usize; Kind::ALL.len()];
