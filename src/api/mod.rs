//! The HTTP interface for users, workers and health checks.
//!
//! This module owns the server, its connections, the endpoints and the form of their answers.
//! Decisions are made by the controller: the endpoints forward requests over the channels in
//! [`channels`] and wait for the replies.
//!
//! Two invariants hold. An answer about a job is never based on an older state than an answer
//! that any controller has given before (see [`read_index`]). A worker is never sent an answer
//! after the expiry of the lease under which the answer was decided.

mod answers;
mod cancellations;
pub mod channels;
mod connection_limiter;
mod context;
mod health;
mod heartbeats;
pub mod read_index;
mod server;
mod status;
mod submissions;

pub use server::{ServeError, serve};

#[cfg(test)]
mod tests;
