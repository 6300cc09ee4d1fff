//! The mesh: messages between controllers, as versioned postcard frames over TCP.
//!
//! Owns the messages, their frames, and the connections to and from peers. The mesh only
//! speeds things up: no rule may depend on a message, so a lost, late or repeated frame does
//! no harm.

mod codec;
mod messages;
mod receiver;
mod sender;

pub use codec::{DecodeError, decode, encode};
pub use messages::{Message, PartitionState, PeerState};
pub use receiver::listen;
pub use sender::dial;
