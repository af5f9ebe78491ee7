//! Mutual authentication with a shared key before a connection carries calls.
//!
//! The accepting side proves the key first, so that the connecting side detects a
//! wrong key before it sends a call.

use core::time;
use rand::RngExt;
use std::fmt;
use std::io;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::counters;
use crate::frame;
use crate::identity;

/// Failure of a handshake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// A frame is malformed or too long.
    Malformed,
    /// The other side uses this protocol version, which is not supported.
    Version(u16),
    /// There is no common key, or the other side's proof is wrong.
    Unauthentic,
    /// The connection broke.
    Broken,
    /// The handshake did not complete in time.
    Timeout,
}

impl Error {
    /// Returns the counter for the error.
    pub const fn count(self) -> counters::Count {
        match self {
            Self::Malformed => counters::Count::HandshakeMalformed,
            Self::Version(_) => counters::Count::HandshakeVersion,
            Self::Unauthentic => counters::Count::HandshakeUnauthentic,
            Self::Broken | Self::Timeout => counters::Count::HandshakeTimeout,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed handshake"),
            Self::Version(version) => write!(f, "protocol version {version} is not supported"),
            Self::Unauthentic => {
                f.write_str("the hosts have no common key or the proof of the key is wrong")
            }
            Self::Broken => f.write_str("the connection broke during the handshake"),
            Self::Timeout => f.write_str("the handshake did not complete in time"),
        }
    }
}

impl From<io::Error> for Error {
    fn from(_: io::Error) -> Self {
        Self::Broken
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        match error {
            wire::Error::Unauthentic | wire::Error::UnknownKey(_) | wire::Error::NoKey => {
                Self::Unauthentic
            }
            wire::Error::Version(version) => Self::Version(version),
            wire::Error::Malformed | wire::Error::TooLong(_) | wire::Error::Invalid(_) => {
                Self::Malformed
            }
        }
    }
}

/// Performs the handshake as the accepting side and returns the identity of the
/// connecting side.
///
/// # Errors
///
/// Fails if the handshake fails or does not complete within `timeout`.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    identity: &identity::Identity,
    keys: &wire::Keyring,
    timeout: time::Duration,
) -> Result<identity::Identity, Error> {
    tokio::time::timeout(timeout, accept_untimed(stream, identity, keys))
        .await
        .map_err(|_| Error::Timeout)?
}

/// Performs the handshake as the connecting side and returns the identity of the
/// accepting side. The caller limits the duration.
///
/// # Errors
///
/// Fails if the handshake fails.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    identity: &identity::Identity,
    keys: &wire::Keyring,
) -> Result<identity::Identity, Error> {
    let mut ids = keys.ids();
    ids.truncate(wire::limit::KEYS);
    let hello = wire::encode(&wire::Hello {
        version: wire::limit::VERSION,
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        nonce: rand::rng().random(),
        keys: ids,
    })?;
    frame::write(stream, &hello).await?;

    let frame = frame::read(stream).await?;
    let welcome: wire::Welcome = wire::decode(&frame)?;
    check_version(welcome.version)?;
    welcome.verify(keys, &hello)?;
    let proof = wire::Proof::sign(keys, welcome.key, &hello, &frame)?;
    frame::write(stream, &wire::encode(&proof)?).await?;
    Ok(identity::Identity {
        name: welcome.name,
        incarnation: welcome.incarnation,
    })
}

async fn accept_untimed<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    identity: &identity::Identity,
    keys: &wire::Keyring,
) -> Result<identity::Identity, Error> {
    let frame = frame::read(stream).await?;
    let hello: wire::Hello = wire::decode(&frame)?;
    check_version(hello.version)?;
    let mut welcome = wire::Welcome {
        version: wire::limit::VERSION,
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        nonce: rand::rng().random(),
        key: common_key(keys, &hello.keys)?,
        proof: [0; 32],
    };
    welcome.sign(keys, &frame)?;
    let answer = wire::encode(&welcome)?;
    frame::write(stream, &answer).await?;

    let proof: wire::Proof = wire::decode(&frame::read(stream).await?)?;
    proof.verify(keys, welcome.key, &frame, &answer)?;
    Ok(identity::Identity {
        name: hello.name,
        incarnation: hello.incarnation,
    })
}

fn check_version(version: u16) -> Result<(), Error> {
    if version == wire::limit::VERSION {
        return Ok(());
    }
    Err(Error::Version(version))
}

/// Returns the first of the own keys that the other side accepts too.
fn common_key(keys: &wire::Keyring, theirs: &[u32]) -> Result<u32, Error> {
    keys.ids()
        .into_iter()
        .find(|id| theirs.contains(id))
        .ok_or(Error::Unauthentic)
}
