//! How a controller's sockets are shared out, so that no use of them starves another.

use super::{InvalidSetting, Settings};

/// Sockets to the key-value store: with those to the cloud they come before all else.
pub const STORE_SOCKETS: usize = 48;
/// Sockets to the cloud's interface.
pub const CLOUD_SOCKETS: usize = 8;
/// Listeners, logs and what the runtime itself holds.
const OWN_SOCKETS: usize = 16;
/// Connections from each peer: one that connects anew may leave its earlier ones behind a
/// cut network.
const SOCKETS_PER_PEER: usize = 4;
/// Small deployments may grow to so many peers.
const MIN_PEERS: usize = 4;
/// One in so many sockets is for direct commands to workers.
const DIRECT_COMMAND_DIVISOR: usize = 8;
/// What a served connection takes of the memory, in KiB, its buffers and its task included
/// (measured: some 20 KiB).
const CONNECTION_KIB: f64 = 26.0;
const KIB_PER_MB: f64 = 1024.0;
/// The fraction of the memory that served connections may take together.
const CONNECTION_MEMORY_FRACTION: f64 = 0.55;
/// New connections that a whole core can take up and answer in half a second, with
/// all its other work beside (measured by the share that heartbeats take).
const UNANSWERED_PER_CORE: f64 = 4_000.0;
const MIN_UNANSWERED: usize = 32;
/// Fewer can't serve users and workers side by side.
pub(super) const MIN_SERVED: usize = 64;

/// How many sockets each use may take, from `limits.sockets` and `limits.ram_mb`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SocketShares {
    /// Connections from peers.
    pub peers: usize,
    /// Kept connections to workers, for direct commands.
    pub direct_commands: usize,
    /// Connections of users and workers; those beyond are closed at once.
    pub max_served: usize,
    /// From so many served on, a worker's connection is closed with its answer: the rest is
    /// for users, and for workers that come all at once after a failover.
    pub worker_close_threshold: usize,
    /// New connections that may wait for their first answer at once.
    pub max_unanswered: usize,
}

impl Settings {
    /// Shares out the sockets.
    ///
    /// # Errors
    /// `limits.sockets` or `limits.ram_mb` is too low to serve users and workers.
    pub fn socket_shares(&self) -> Result<SocketShares, InvalidSetting> {
        let (limits, controllers) = (&self.platform.limits, self.platform.initial_size);
        let peers = SOCKETS_PER_PEER * controllers.max(MIN_PEERS);
        let direct_commands = limits.sockets / DIRECT_COMMAND_DIVISOR;
        let outgoing = STORE_SOCKETS + CLOUD_SOCKETS + OWN_SOCKETS + self.seeds.len();
        let reserved = outgoing + peers + direct_commands;
        let left = limits.sockets.saturating_sub(reserved);
        if left < MIN_SERVED {
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
        let max_served = left.min(connections);
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
