//! Bodies that are read for as long as bytes arrive.

use core::fmt;
use core::time;

use bytes::Bytes;
use http_body_util::BodyExt;

/// Bounds of one transfer.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Largest size in bytes.
    pub bytes_max: usize,
    /// Longest time without bytes.
    pub pause_max: time::Duration,
}

/// Why a body was not read to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// It exceeds the largest size.
    TooLarge,
    /// No bytes arrived for the longest pause; so many had arrived before.
    Stalled(usize),
    /// It is malformed or ends early.
    Broken(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => formatter.write_str("the answer is too large"),
            Self::Stalled(bytes) => write!(formatter, "no bytes in time after {bytes} of them"),
            Self::Broken(cause) => formatter.write_str(cause),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a body to its end. How long that takes is bounded by its size and the pauses
/// alone, because a transfer that is given up has filled the link for nothing.
///
/// # Errors
///
/// Fails if the body exceeds a bound, is malformed or ends early.
pub async fn collect<B>(mut body: B, options: Options) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes, Error: fmt::Display> + Unpin,
{
    let expected = body.size_hint().exact().unwrap_or(0);
    if expected > options.bytes_max as u64 {
        return Err(Error::TooLarge);
    }
    // CAST: At most the largest size.
    let mut bytes = Vec::with_capacity(expected as usize);
    loop {
        let frame = tokio::time::timeout(options.pause_max, body.frame()).await;
        let frame = frame.map_err(|_| Error::Stalled(bytes.len()))?;
        let Some(frame) = frame else {
            return Ok(bytes.into());
        };
        let frame = frame.map_err(|cause| Error::Broken(cause.to_string()))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > options.bytes_max {
            return Err(Error::TooLarge);
        }
        bytes.extend_from_slice(data);
    }
}
