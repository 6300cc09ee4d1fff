//! Division of a controller's sockets among their uses.
//!
//! Invariant: the sockets of all uses together stay within `limits.sockets`, so no use can
//! exhaust the sockets of another.

use super::{InvalidSetting, Settings};

/// Sockets for the key-value store. Like the sockets for the cloud, they are reserved before
/// those of users and workers.
pub const STORE_SOCKETS: usize = 48;
/// Sockets for the cloud's API.
pub const CLOUD_SOCKETS: usize = 8;
/// Sockets and file descriptors for the listeners, the logs and the runtime.
const OWN_SOCKETS: usize = 16;
/// Connections from each peer. When a network partition separates a peer and it reconnects,
/// its earlier connections may still be open here.
const SOCKETS_PER_PEER: usize = 4;
/// Minimum number of peers that sockets are reserved for, because a small deployment may grow.
const MIN_PEERS: usize = 4;
/// Divisor of `limits.sockets` that gives the sockets for direct commands to workers.
const DIRECT_COMMAND_DIVISOR: usize = 8;
/// Memory reserved for a served connection, in KiB. Its buffers and its task take about 20 KiB.
const CONNECTION_KIB: f64 = 26.0;
const KIB_PER_MB: f64 = 1024.0;
/// Fraction of the process's memory that all served connections together may take.
const CONNECTION_MEMORY_FRACTION: f64 = 0.55;
/// New connections that one whole core can accept and answer within 0.5 s in addition to the
/// controller's other work.
const UNANSWERED_PER_CORE: f64 = 4_000.0;
/// Lower bound of [`SocketShares::max_unanswered`].
const MIN_UNANSWERED: usize = 32;
/// Minimum number of connections for users and workers. With fewer, users and workers can't be
/// served at the same time.
pub(super) const MIN_SERVED: usize = 64;

/// Number of sockets for each use, derived from `limits.sockets` and `limits.ram_mb`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SocketShares {
    /// Maximum number of connections from peers.
    pub peers: usize,
    /// Maximum number of kept-alive connections to workers, for direct commands.
    pub direct_commands: usize,
    /// Maximum number of connections from users and workers. Further connections are closed
    /// at once.
    pub max_served: usize,
    /// Number of served connections above which a worker's connection is closed with its next
    /// answer. The remaining connections are reserved for users, and for workers that all
    /// connect at once after a failover.
    pub worker_close_threshold: usize,
    /// Maximum number of new connections that wait for their first answer at the same time.
    pub max_unanswered: usize,
}

impl Settings {
    /// Divides the sockets among their uses.
    ///
    /// # Errors
    /// Fails if `limits.sockets` or `limits.ram_mb` is too low to serve users and workers.
    pub fn socket_shares(&self) -> Result<SocketShares, InvalidSetting> {
        let (limits, controllers) = (&self.platform.limits, self.platform.initial_size);
        let peers = SOCKETS_PER_PEER * controllers.max(MIN_PEERS);
        let direct_commands = limits.sockets / DIRECT_COMMAND_DIVISOR;
        let outgoing = STORE_SOCKETS + CLOUD_SOCKETS + OWN_SOCKETS + self.seeds.len();
        let reserved = outgoing + peers + direct_commands;
        let remaining = limits.sockets.saturating_sub(reserved);
        if remaining < MIN_SERVED {
            return Err(InvalidSetting::TooFewSockets {
                value: limits.sockets,
                reserved,
            });
        }
        let connections = limits.ram_mb.map_or(usize::MAX, |ram_mb| {
            (ram_mb * KIB_PER_MB * CONNECTION_MEMORY_FRACTION / CONNECTION_KIB) as usize
        });
        if connections < MIN_SERVED {
            return Err(InvalidSetting::TooLittleMemory { connections });
        }
        let max_served = remaining.min(connections);
        let unanswered = limits.cpu_share.unwrap_or(1.0) * UNANSWERED_PER_CORE;
        Ok(SocketShares {
            peers,
            direct_commands,
            max_served,
            worker_close_threshold: max_served * 4 / 5,
            max_unanswered: (unanswered as usize).clamp(MIN_UNANSWERED, max_served),
        })
    }
}

#[cfg(test)]
mod tests;
