/// How a run at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It answered with success.
    Served,
    /// It answered with a failure of its own, or spoiled its answer.
    Failed,
    /// It broke the connection or stayed silent.
    Lost,
    /// It could not be reached, so that nothing was sent.
    Unreachable,
    /// It had no room and did not run the request.
    Full,
    /// The address belongs to another process; nothing ran.
    Misdirected,
    /// The caller left, or this host stopped the run.
    Cancelled,
}
