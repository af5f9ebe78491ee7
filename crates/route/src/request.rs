use core::time;

/// Kind of slot that a request needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Whether the output is expected to be long.
    pub is_long: bool,
    /// Whether the request was in flight at a crash of an endpoint.
    pub is_suspect: bool,
}

impl Need {
    /// Number of kinds.
    pub const COUNT: usize = 4;

    /// Returns the index of the kind, below [`Need::COUNT`].
    pub const fn index(self) -> usize {
        self.is_long as usize | (self.is_suspect as usize) << 1
    }

    /// Returns the kind with this index; bits above the lowest two are ignored.
    pub const fn from_index(index: usize) -> Self {
        Self {
            is_long: index & 1 != 0,
            is_suspect: index & 2 != 0,
        }
    }
}

/// Properties of a request that the choice of an endpoint depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Kind of slot that the request needs.
    pub need: Need,
    /// Index of the class, which separates the statistics of times.
    pub class: u16,
    /// Target for the time to the first token.
    pub target_first: time::Duration,
    /// Target for the time between tokens; `None` for plain services.
    pub target_gap: Option<time::Duration>,
    /// Hash of the leading part of the prompt; 0 for none.
    pub prefix_hash: u64,
    /// Endpoint of the last failed attempt, chosen only if no other has room;
    /// `None` if there is none.
    pub avoid: Option<u32>,
}
