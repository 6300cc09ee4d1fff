//! The mesh: messages between controllers, as versioned postcard frames over TCP.
//!
//! This module owns the messages, their frames, and the connections to and from peers. Messages
//! only reduce latency: correctness must never depend on them, so a lost, late or repeated frame
//! is harmless.

mod codec;
mod messages;
mod receiver;
mod sender;

pub use codec::{DecodeError, decode, encode};
pub use messages::{Message, PartitionState, PeerState};
pub use receiver::listen;
pub use sender::dial;
