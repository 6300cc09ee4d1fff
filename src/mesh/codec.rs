//! Frames of the mesh: a version and a message in postcard, each after its length.
//!
//! Owns the wire form of a frame. A frame of another version must never be read as one of
//! this: two versions meet in a rolling upgrade.

use super::messages::Message;
use bytes::Bytes;
use serde::Serialize;
use tokio_util::codec::LengthDelimitedCodec;

/// The version of the frames. Those of another version are dropped.
const VERSION: u16 = 2;
/// A longer frame, in bytes, ends its connection.
const MAX_FRAME_BYTES: usize = 256 * 1024;

#[derive(Serialize)]
struct Frame<'a> {
    version: u16,
    body: &'a Message,
}

/// Why a frame gives no message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is of another version.
    #[error("the frame is of version {0}, not {VERSION}")]
    OtherVersion(u16),
    /// It is not a frame, or of a kind of message that is not known.
    #[error("the frame is malformed")]
    Malformed(#[from] postcard::Error),
}

/// The framing on a connection: a frame follows its length in four bytes.
pub(super) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// The frame of a message, without its length.
///
/// # Errors
///
/// When the message can't be serialized.
pub fn encode(message: &Message) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(&Frame {
        version: VERSION,
        body: message,
    })
    .map(Bytes::from)
}

/// The message of a frame, without its length.
///
/// # Errors
///
/// When the frame is of another version or malformed.
pub fn decode(frame: &[u8]) -> Result<Message, DecodeError> {
    let (version, body) = postcard::take_from_bytes::<u16>(frame)?;
    if version != VERSION {
        return Err(DecodeError::OtherVersion(version));
    }
    Ok(postcard::from_bytes(body)?)
}

#[cfg(test)]
mod tests;
