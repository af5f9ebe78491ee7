/// Call that only informs the other host. It is sent again on the next link until
/// the host acknowledges it, so that no grant stays open at the home host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// Cancellation of an ask or a grant.
    Cancel(u64),
    /// First output of a granted ask.
    FirstOutput(u64),
    /// End of a granted ask.
    Done(wire::Done),
    /// A request that was in flight when an endpoint crashed.
    Crash(wire::Crash),
    /// This host is leaving.
    Leave,
}

impl Report {
    /// Returns the id of the ask that the report ends.
    pub fn ended_ask(&self) -> Option<u64> {
        match self {
            Self::Cancel(id) => Some(*id),
            Self::Done(done) => Some(done.id),
            Self::FirstOutput(_) | Self::Crash(_) | Self::Leave => None,
        }
    }
}
