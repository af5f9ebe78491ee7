/// How a run at an endpoint ended. The end determines how the endpoint's
/// failure state changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The endpoint answered successfully.
    Served,
    /// The endpoint answered with an error of its own or a malformed answer.
    Failed,
    /// The endpoint closed the connection or did not answer in time.
    Lost,
    /// The endpoint could not be reached; nothing was sent.
    Unreachable,
    /// The endpoint had no room and did not run the request.
    Full,
    /// The request was not sent, because the endpoint must not refuse it and has no place.
    Declined,
    /// Another process answered at the address and did not run the request.
    Misdirected,
    /// The caller disconnected, or this host cancelled the run.
    Cancelled,
}
