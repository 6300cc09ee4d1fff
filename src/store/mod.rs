//! The client of the consensus-backed key-value store: the only place where anything
//! outlives a process.
//!
//! This module owns the requests and replies, the names of all keys, the share of the
//! store's limits that this controller may use, and the HTTP requests that carry them. It
//! must never know what a record means: the modules that own the records write and read
//! them.

pub mod client;
pub mod keys;

mod adaptive_token_bucket;
mod http;
mod reply;
mod request;
mod request_budget;
mod token_bucket;
mod watch;

pub use keys::ROOT;
pub use reply::{KeyValue, Reply, Versioned, WatchEvent};
pub use request::{Compare, Mutation, Request, RequestPriority};

/// A compare-and-swap's records stay below this, in bytes; the store allows 64 KiB.
pub const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
