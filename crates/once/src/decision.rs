/// What the ledger says about an arriving request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision<A> {
    /// The request is new: dispatch it, exactly once.
    Run,
    /// An earlier attempt is in progress; its answer is also this one's.
    Wait,
    /// The answer of the earlier run.
    Replay(A),
    /// The request must not be dispatched.
    Refuse(answer::Kind),
}
