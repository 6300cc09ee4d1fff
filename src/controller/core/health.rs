//! Health checks: whether users should be routed to this controller, which members are fit to
//! own partitions, and whether this controller is isolated.
//!
//! This module holds no state. It combines the store reader, the peer table and the
//! reachability of the workers.

use super::Core;
use crate::clock::Micros;
use crate::ids::Label;

/// Age of the last store read from which on a controller is unhealthy, if a peer still reaches
/// the store or if no peer sends gossip. It is longer than the age at which a controller's gossip
/// reports the store as unreachable. In a store outage, all controllers have therefore reported
/// it as unreachable before any of them could become unhealthy.
const UNHEALTHY_STALENESS: Micros = Micros::from_millis(5_500);

impl Core {
    /// Returns whether users should be routed to this controller. They should not while this
    /// controller cannot reach the store and a peer can. In a store outage no controller reaches
    /// it, so taking one out of service would not help any user. A controller that has not read
    /// the store yet is not healthy.
    pub(super) fn is_healthy(&self, now: Micros) -> bool {
        if !self.store.cache().is_loaded() {
            return false;
        }
        if now.since(self.store.last_read_at()) < UNHEALTHY_STALENESS {
            return true;
        }
        // Without the store and any peer, a store outage looks the same as the isolation of
        // this controller, which is more likely.
        let has_seeds = !self.configuration.settings.seeds.is_empty();
        let has_lost_peers = has_seeds && !self.peers.has_recent_state(now);
        !has_lost_peers && !self.peers.any_peer_reaches_store(now)
    }

    /// Returns whether a member is fit to own partitions: it is alive and reaches its workers.
    /// A peer must also reach the store.
    pub(super) fn is_member_fit(&self, now: Micros, label: &Label) -> bool {
        if *label == self.configuration.settings.label {
            return self.rebalancing.are_workers_reachable(now);
        }
        self.peers.is_fit(now, label)
    }

    /// Returns whether this controller may be isolated: there are other members, but it receives
    /// no gossip from any of them.
    pub(super) fn is_isolated_from_peers(&self, now: Micros) -> bool {
        let own_label = &self.configuration.settings.label;
        let members = self.store.cache().members.keys();
        let others = members.filter(|label| *label != own_label);
        self.peers
            .are_all_silent(now, others, self.election.leading_since())
    }
}
