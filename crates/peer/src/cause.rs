use std::fmt;

/// Reason for the failure of a call to another host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The TCP connection could not be established.
    Connect,
    /// The connection and its handshake were not complete in time.
    Timeout,
    /// The last connection failed, and the delay before the next attempt has not
    /// passed.
    Backoff,
    /// The handshake failed: wrong key, unsupported version or malformed frame.
    Handshake,
    /// A limit of the link is reached: calls, queued calls or bytes of runs.
    Full,
    /// An ask with the same id is pending or granted on the link.
    Duplicate,
    /// The message cannot be encoded, for instance because a field is too long.
    Encode(wire::Error),
    /// The answer cannot be decoded.
    Decode(wire::Error),
    /// The connection broke or was closed.
    Closed,
    /// The other host did not answer in time.
    Unresponsive,
    /// The other host returned an error instead of an answer.
    Failed,
    /// The ask was cancelled while it was pending.
    Cancelled,
    /// The task of the link has stopped.
    Stopped,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("the connection could not be established"),
            Self::Timeout => {
                f.write_str("the connection and its handshake were not complete in time")
            }
            Self::Backoff => {
                f.write_str("the last connection failed; waiting before the next attempt")
            }
            Self::Handshake => f.write_str("the handshake failed"),
            Self::Full => f.write_str("too many calls are pending on the link"),
            Self::Duplicate => f.write_str("an ask with this id is pending on the link"),
            Self::Encode(error) => write!(f, "the message cannot be encoded: {error}"),
            Self::Decode(error) => write!(f, "the answer cannot be decoded: {error}"),
            Self::Closed => f.write_str("the connection broke"),
            Self::Unresponsive => f.write_str("the host did not answer in time"),
            Self::Failed => f.write_str("the host failed to process the call"),
            Self::Cancelled => f.write_str("the ask was cancelled"),
            Self::Stopped => f.write_str("the client has stopped"),
        }
    }
}
