/// A call without an answer. It is repeated on the next link if the host did
/// not acknowledge it, so that no grant stays open at the home host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// Gives an ask or a grant back.
    Cancel(u64),
    /// First output of a granted ask.
    First(u64),
    /// End of a granted ask.
    Done(wire::Done),
    /// A request was in flight when an endpoint crashed.
    Crash(wire::Crash),
    /// This host is leaving.
    Leave,
}

impl Report {
    /// Returns the ask whose end is reported.
    pub fn ended(&self) -> Option<u64> {
        match self {
            Self::Cancel(id) => Some(*id),
            Self::Done(done) => Some(done.id),
            Self::First(_) | Self::Crash(_) | Self::Leave => None,
        }
    }
}
