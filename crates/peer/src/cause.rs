use std::fmt;

/// Why a call to another host failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The connection could not be made.
    Connect,
    /// The connection or the handshake took too long.
    Timeout,
    /// An earlier connection failed and the next attempt is not due yet.
    Backoff,
    /// The handshake failed: wrong key, wrong version or garbage.
    Handshake,
    /// Too many calls are open on the link.
    Full,
    /// An ask with the same id is open on the link.
    Duplicate,
    /// The message has a field above its bound.
    Encode(wire::Error),
    /// The answer cannot be decoded.
    Decode(wire::Error),
    /// The connection broke or was closed.
    Closed,
    /// The other host did not answer in time.
    Unresponsive,
    /// The other host failed to process the call.
    Failed,
    /// The ask was cancelled while it was open.
    Cancelled,
    /// The client has stopped.
    Stopped,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("the connection could not be made"),
            Self::Timeout => f.write_str("the connection or the handshake took too long"),
            Self::Backoff => f.write_str("the last connection failed; the next attempt is not due"),
            Self::Handshake => f.write_str("the handshake failed"),
            Self::Full => f.write_str("too many calls are open on the link"),
            Self::Duplicate => f.write_str("an ask with this id is open on the link"),
            Self::Encode(error) => write!(f, "the message cannot be encoded: {error}"),
            Self::Decode(error) => write!(f, "the answer cannot be decoded: {error}"),
            Self::Closed => f.write_str("the connection broke"),
            Self::Unresponsive => f.write_str("the host does not answer"),
            Self::Failed => f.write_str("the host failed to process the call"),
            Self::Cancelled => f.write_str("the ask was cancelled"),
            Self::Stopped => f.write_str("the client has stopped"),
        }
    }
}
