//! The client of the consensus-backed key-value store, which holds all state that must
//! outlive a controller process.
//!
//! This module defines the store's requests and replies, their HTTP form and the names of all
//! keys. It keeps this controller within its share of the store's limits. Values are opaque
//! JSON here: their format and meaning belong to the modules that define the records.

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

/// Size of the records in one compare-and-swap, in bytes, above which callers add no further
/// record to it. The store rejects a transaction above 64 KiB.
pub const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
