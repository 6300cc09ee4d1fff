//! rockdeal: a cluster scheduler. A leader assigns partitions of the machines to controllers. The
//! owner of a partition holds a lease and places waiting tasks on the partition's machines. The
//! team with the lowest usage relative to its guaranteed quota is served first. Fencing tokens
//! make workers reject the commands of an earlier owner.
//!
//! Modules keep their decisions in synchronous state machines that receive the time as an
//! argument. Only thin drivers around them use sockets and clocks.

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
