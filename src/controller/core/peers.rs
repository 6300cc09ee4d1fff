//! The liveness of the other controllers, derived from their gossip and their membership.
//!
//! It records the last state that each peer sent and when each member joined. This information
//! only speeds up decisions and helps to select the owner of a partition. It never entitles a
//! controller to act.

use crate::clock::Micros;
use crate::ids::{Label, PartitionId, Revision};
use crate::mesh::{PartitionState, PeerState};
use std::collections::BTreeMap;

/// Time without gossip after which a peer counts as silent.
const PEER_TIMEOUT: Micros = Micros::from_millis(5_000);
/// Age up to which a peer's state is evidence of its access to the store.
const PEER_STATE_VALIDITY: Micros = Micros::from_millis(3_000);
/// Time without gossip of any other member after which this controller counts as isolated.
const ISOLATION_TIMEOUT: Micros = Micros::from_millis(8_000);

/// The last state that a peer sent.
#[derive(Debug)]
struct PeerRecord {
    received_at: Micros,
    state: PeerState,
}

/// The current incarnation of a member, and when it was first seen.
#[derive(Debug)]
struct Join {
    incarnation: Revision,
    seen_at: Micros,
}

/// The peers as this controller observes them.
#[derive(Debug)]
pub(super) struct PeerTable {
    records: BTreeMap<Label, PeerRecord>,
    joins: BTreeMap<Label, Join>,
    /// Start of this controller. No peer could send gossip to it before.
    started_at: Micros,
}

impl PeerTable {
    /// Creates the table of a controller that has just started.
    pub(super) fn new(started_at: Micros) -> Self {
        PeerTable {
            records: BTreeMap::new(),
            joins: BTreeMap::new(),
            started_at,
        }
    }

    /// Records a state that a peer has sent.
    pub(super) fn record_state(&mut self, now: Micros, state: PeerState) {
        let record = PeerRecord {
            received_at: now,
            state,
        };
        self.records.insert(record.state.sender.clone(), record);
    }

    /// Records the incarnation of a member that the store shows. An incarnation that is already
    /// known keeps the time at which it was first seen.
    pub(super) fn record_member(&mut self, now: Micros, label: &Label, incarnation: Revision) {
        let known = self.joins.get(label);
        if known.is_none_or(|join| join.incarnation != incarnation) {
            let join = Join {
                incarnation,
                seen_at: now,
            };
            self.joins.insert(label.clone(), join);
        }
    }

    /// Returns whether a peer has ever sent its state.
    pub(super) fn has_sent_state(&self, label: &Label) -> bool {
        self.records.contains_key(label)
    }

    /// Returns whether a peer has sent no state within the peer timeout.
    pub(super) fn is_silent(&self, now: Micros, label: &Label) -> bool {
        self.is_silent_for(now, label, PEER_TIMEOUT)
    }

    /// Returns whether a peer is alive and reaches the store and its workers. A peer that has
    /// just joined counts as fit until it sends its first state, for the peer timeout at most.
    pub(super) fn is_fit(&self, now: Micros, label: &Label) -> bool {
        let joined_at = self
            .joins
            .get(label)
            .map_or(Micros::ZERO, |join| join.seen_at);
        let Some(PeerRecord { received_at, state }) = self.records.get(label) else {
            return now.since(joined_at) < PEER_TIMEOUT;
        };
        let is_connected = state.workers_reachable && state.store_reachable;
        now.since((*received_at).max(joined_at)) < PEER_TIMEOUT
            && (is_connected || joined_at > *received_at)
    }

    /// Returns whether there are other members, but none of them has sent a state within the
    /// isolation timeout, so that this controller may be isolated. The timeout begins at `since`
    /// at the earliest; `None` means at the start of this controller.
    pub(super) fn are_all_silent<'a>(
        &self,
        now: Micros,
        others: impl Iterator<Item = &'a Label>,
        since: Option<Micros>,
    ) -> bool {
        let mut others = others.peekable();
        let since = since.unwrap_or(self.started_at).max(self.started_at);
        others.peek().is_some()
            && now.since(since) > ISOLATION_TIMEOUT
            && others.all(|label| self.is_silent_for(now, label, ISOLATION_TIMEOUT))
    }

    fn is_silent_for(&self, now: Micros, label: &Label, span: Micros) -> bool {
        self.records
            .get(label)
            .is_none_or(|record| now.since(record.received_at) > span)
    }

    /// Returns whether any peer has sent its state recently.
    pub(super) fn has_recent_state(&self, now: Micros) -> bool {
        self.recent_states(now).next().is_some()
    }

    /// Returns whether any peer has recently reported that it reaches the store.
    pub(super) fn any_peer_reaches_store(&self, now: Micros) -> bool {
        self.recent_states(now).any(|state| state.store_reachable)
    }

    fn recent_states(&self, now: Micros) -> impl Iterator<Item = &PeerState> {
        let is_recent =
            move |record: &&PeerRecord| now.since(record.received_at) < PEER_STATE_VALIDITY;
        self.records
            .values()
            .filter(is_recent)
            .map(|record| &record.state)
    }

    /// Returns the partition states that the peers sent last, with the times of their receipt.
    fn partition_states(&self) -> impl Iterator<Item = PartitionState> {
        self.records.values().flat_map(|record| {
            let partitions = record.state.partitions.iter();
            partitions.map(|partition| PartitionState {
                received_at: record.received_at,
                ..partition.clone()
            })
        })
    }

    /// Returns the newest state of every partition, from the peers' states and `own`. The newest
    /// state is the one with the highest term; among equal terms, the one received last.
    pub(super) fn newest_partition_states(
        &self,
        own: Vec<PartitionState>,
    ) -> BTreeMap<PartitionId, PartitionState> {
        let mut newest: BTreeMap<PartitionId, PartitionState> = BTreeMap::new();
        for state in self.partition_states().chain(own) {
            let known = newest.get(&state.partition);
            if known.is_none_or(|known| {
                (known.term, known.received_at) < (state.term, state.received_at)
            }) {
                newest.insert(state.partition, state);
            }
        }
        newest
    }
}

#[cfg(test)]
mod tests;
