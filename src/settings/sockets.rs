//! How a controller's sockets are shared out, so that no duty locks out another.

use super::Settings;

/// To the state service and to the cloud: those come before all else.
pub const STORE_SOCKETS: usize = 48;
/// Sockets to the cloud's interface.
pub const CLOUD_SOCKETS: usize = 8;
/// Listeners, logs and what the runtime itself holds.
const OWN_SOCKETS: usize = 16;
/// Of the limit, for words straight to workers.
const DIRECT_PART: usize = 8;
/// What a served connection takes of the memory, its buffers and its task included
/// (measured: some 20 KiB), and how much of the memory they may take together.
const CONNECTION_KB: f64 = 26.0;
const CONNECTIONS_PART: f64 = 0.55;
/// New connections that a whole core can take up and answer in half a second, with
/// all its other work beside (measured by the share that reports take).
const AWAITED_BY_CORE: f64 = 4_000.0;
const LEAST_AWAITED: usize = 32;
/// Too few to serve users and workers side by side.
const LEAST_SERVED: usize = 64;

/// The bounds of each duty, from `limits.sockets` and `limits.ram_mb`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sockets {
    /// Connections from peers.
    pub peers: usize,
    /// Kept connections to workers, for direct commands.
    pub direct: usize,
    /// Connections of users and workers; those beyond are closed at once.
    pub served: usize,
    /// From so many on, a worker's connection is closed with its answer: the rest is
    /// for users, and for workers that come all at once after a failover.
    pub crowded: usize,
    /// New connections that may wait for their first answer at once.
    pub awaited: usize,
}

impl Settings {
    /// Shares out the sockets, or says why there are too few.
    pub fn sockets(&self) -> Result<Sockets, String> {
        let p = &self.platform;
        // A peer that connects anew may leave its earlier connection behind a cut.
        let peers = 4 * p.initial_size.max(4);
        let direct = p.limits.sockets / DIRECT_PART;
        let others = STORE_SOCKETS + CLOUD_SOCKETS + OWN_SOCKETS + self.seeds.len() + peers;
        let by_sockets = p.limits.sockets.saturating_sub(others + direct);
        let by_memory = p.limits.ram_mb.map_or(usize::MAX, |mb| {
            (mb * 1024.0 * CONNECTIONS_PART / CONNECTION_KB) as usize
        });
        if by_sockets < LEAST_SERVED {
            return Err(format!(
                "limits.sockets is {}, too few to serve users and workers beside {} for the \
                 state service, the cloud, peers and direct commands",
                p.limits.sockets,
                others + direct
            ));
        }
        if by_memory < LEAST_SERVED {
            return Err(format!(
                "limits.ram_mb leaves room for {by_memory} connections; at least {LEAST_SERVED} are needed"
            ));
        }
        let served = by_sockets.min(by_memory);
        Ok(Sockets {
            peers,
            direct,
            served,
            crowded: served * 4 / 5,
            awaited: ((p.limits.cpu_share.unwrap_or(1.0) * AWAITED_BY_CORE) as usize)
                .clamp(LEAST_AWAITED, served),
        })
    }
}

#[cfg(test)]
mod tests;
