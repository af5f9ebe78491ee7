//! Handshake frames: a little-endian `u16` length, followed by that many bytes.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::handshake;

/// Reads a frame of at most [`wire::limit::FRAME_BYTES`]; a longer one is
/// malformed.
pub async fn read<R: AsyncRead + Unpin>(stream: &mut R) -> Result<Vec<u8>, handshake::Error> {
    let length = usize::from(stream.read_u16_le().await?);
    if length > wire::limit::FRAME_BYTES {
        return Err(handshake::Error::Malformed);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

pub async fn write<W: AsyncWrite + Unpin>(
    stream: &mut W,
    bytes: &[u8],
) -> Result<(), handshake::Error> {
    let length = u16::try_from(bytes.len()).map_err(|_| handshake::Error::Malformed)?;
    let mut frame = Vec::with_capacity(size_of::<u16>() + bytes.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(bytes);
    stream.write_all(&frame).await.map_err(io::Error::into)
}
