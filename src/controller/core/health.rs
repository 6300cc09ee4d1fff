//! Whether users should come here, which members are fit to own partitions, and whether this
//! controller is isolated.
//!
//! It holds no state: it combines the store reader, the peer table and the reachability of the
//! workers.

use super::Core;
use crate::clock::Micros;
use crate::ids::Label;

/// Without a read for so long, a controller is unhealthy if a peer has one. Longer than the
/// staleness at which a controller's gossip says that it lost the store, so that in an
/// outage the gossip of all says so before.
const UNHEALTHY_STALENESS: Micros = Micros::from_millis(5_500);

impl Core {
    /// Whether users should come here: not while this controller lacks the store and another
    /// has it. In an outage all lack it, and nobody gains from a removal.
    pub(super) fn is_healthy(&self, now: Micros) -> bool {
        if !self.store.cache().loaded {
            return false;
        }
        if now.since(self.store.last_read_at()) < UNHEALTHY_STALENESS {
            return true;
        }
        // Without the store and without any peer an outage can't be distinguished from
        // an isolation of our own, which is the likelier.
        let has_seeds = !self.configuration.settings.seeds.is_empty();
        let is_alone = has_seeds && !self.peers.has_recent_state(now);
        !is_alone && !self.peers.reaches_store(now)
    }

    /// Whether a member shows signs of life and reaches its workers.
    pub(super) fn is_member_fit(&self, now: Micros, label: &Label) -> bool {
        if *label == self.configuration.settings.label {
            return self.rebalancing.are_workers_reachable(now);
        }
        self.peers.is_fit(now, label)
    }

    /// Others are members, but none of them sends anything: this controller may be isolated.
    pub(super) fn is_isolated_from_peers(&self, now: Micros) -> bool {
        let own_label = &self.configuration.settings.label;
        let members = self.store.cache().members.keys();
        let others = members.filter(|label| *label != own_label);
        self.peers
            .are_all_silent(now, others, self.election.leading_since())
    }
}
