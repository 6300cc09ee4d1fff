//! The HTTP interface for users, workers and health checks.
//!
//! Owns the server, its connections, the endpoints and the form of their answers. It decides
//! nothing that the controller decides: it passes requests on over the channels of [`ports`]
//! and waits for their replies. It must never answer from a state older than one that any
//! controller may have answered from before (see [`read_index`]), nor send a worker an answer
//! after the lease under which it was decided.

mod answers;
mod cancellations;
mod connection_limiter;
mod context;
mod health;
mod heartbeats;
pub mod ports;
pub mod read_index;
mod server;
mod status;
mod submissions;

pub use server::{ServeError, serve};

#[cfg(test)]
mod tests;
