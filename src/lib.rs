//! rockdeal: a cluster scheduler that places waiting work lightest team first
//! inside fenced partitions of machines that a leader leases to controllers.
//!
//! Every module keeps its decisions in plain, synchronous state that is given
//! the time; only the thin drivers around them know sockets and clocks.

pub use rockdeal_types::{clock, ids};

pub mod api;
pub mod autoscaler;
pub mod cloud;
pub mod controller;
pub mod fairness;
pub mod http_client;
pub mod jobs;
pub mod leader;
pub mod mesh;
pub mod partition_owner;
pub mod partitions;
pub mod placement;
pub mod policy;
pub mod settings;
pub mod store;
pub mod subsystems;
pub mod watch_cache;
pub mod workers;
pub mod zones;
