/// Decision of the ledger about an arriving request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision<A> {
    /// The request is new: dispatch it, exactly once.
    Run,
    /// An earlier attempt is in progress; its answer is the answer to this one too.
    Wait,
    /// An earlier attempt completed; this is its stored answer.
    Replay(A),
    /// The request must not be dispatched; it is answered with this kind.
    Refuse(answer::Kind),
}
