//! Encoding and decoding of mesh frames. A frame is a length, followed by a version and a message
//! in the postcard format.
//!
//! Two versions of the controller run side by side during a rolling upgrade. A frame of another
//! version must never be parsed as a frame of this version.

use super::messages::Message;
use bytes::Bytes;
use serde::Serialize;
use tokio_util::codec::LengthDelimitedCodec;

/// The version of the frame format. Frames of other versions are dropped.
const VERSION: u16 = 2;
/// Maximum length of a frame, in bytes. A longer frame closes the connection.
const MAX_FRAME_BYTES: usize = 256 * 1024;

#[derive(Serialize)]
struct Frame<'a> {
    version: u16,
    body: &'a Message,
}

/// The reason why a frame cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The frame is of another version.
    #[error("the frame is of version {0}, not {VERSION}")]
    OtherVersion(u16),
    /// The frame is truncated or invalid, or its kind of message is unknown.
    #[error("the frame is malformed")]
    Malformed(#[from] postcard::Error),
}

/// Returns the codec of a connection: each frame is preceded by its length in four bytes.
pub(super) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message as a frame, without the length prefix.
///
/// # Errors
///
/// Returns an error if the message cannot be serialized.
pub fn encode(message: &Message) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(&Frame {
        version: VERSION,
        body: message,
    })
    .map(Bytes::from)
}

/// Decodes the message of a frame without the length prefix.
///
/// # Errors
///
/// Returns an error if the frame is of another version or malformed.
pub fn decode(frame: &[u8]) -> Result<Message, DecodeError> {
    let (version, body) = postcard::take_from_bytes::<u16>(frame)?;
    if version != VERSION {
        return Err(DecodeError::OtherVersion(version));
    }
    Ok(postcard::from_bytes(body)?)
}

#[cfg(test)]
mod tests;
