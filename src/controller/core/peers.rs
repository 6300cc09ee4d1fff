//! The liveness of the other controllers, by their gossip and their membership.
//!
//! It owns what each peer sent last and when each member joined. It makes decisions faster,
//! or decides where a partition goes; it never entitles anybody to act.

use crate::clock::Micros;
use crate::ids::{Label, PartitionId, Revision};
use crate::mesh::{PartitionState, PeerState};
use std::collections::BTreeMap;

/// A peer that sent nothing for so long counts as silent.
const PEER_TIMEOUT: Micros = Micros::from_millis(5_000);
/// A peer's state that is older says nothing of its access to the store.
const PEER_STATE_VALIDITY: Micros = Micros::from_millis(3_000);
/// Without gossip of any other member for so long, this controller counts as isolated.
const ISOLATION_TIMEOUT: Micros = Micros::from_millis(8_000);

/// What a peer sent last.
#[derive(Debug)]
struct PeerRecord {
    received_at: Micros,
    state: PeerState,
}

/// When a member was first seen in its present incarnation.
#[derive(Debug)]
struct Join {
    incarnation: Revision,
    seen_at: Micros,
}

/// The peers as this controller knows them.
#[derive(Debug)]
pub(super) struct PeerTable {
    records: BTreeMap<Label, PeerRecord>,
    joins: BTreeMap<Label, Join>,
    /// When this controller started: no peer could send to it before.
    started_at: Micros,
}

impl PeerTable {
    /// A table of a controller that has just started.
    pub(super) fn new(started_at: Micros) -> Self {
        PeerTable {
            records: BTreeMap::new(),
            joins: BTreeMap::new(),
            started_at,
        }
    }

    /// Records the state that a peer has sent.
    pub(super) fn record_state(&mut self, now: Micros, state: PeerState) {
        let record = PeerRecord {
            received_at: now,
            state,
        };
        self.records.insert(record.state.sender.clone(), record);
    }

    /// Records that a member has been seen in the store, if its incarnation is new.
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

    /// Whether a peer has ever sent its state.
    pub(super) fn is_known(&self, label: &Label) -> bool {
        self.records.contains_key(label)
    }

    /// Whether a peer has sent nothing of late.
    pub(super) fn is_silent(&self, now: Micros, label: &Label) -> bool {
        self.is_silent_for(now, label, PEER_TIMEOUT)
    }

    /// Whether a peer shows signs of life and reaches the store and its workers. One that
    /// has just joined gets the time to send its first state.
    pub(super) fn is_fit(&self, now: Micros, label: &Label) -> bool {
        let joined_at = self
            .joins
            .get(label)
            .map_or(Micros::ZERO, |join| join.seen_at);
        let Some(PeerRecord { received_at, state }) = self.records.get(label) else {
            return now.since(joined_at) < PEER_TIMEOUT;
        };
        let is_able = state.workers_reachable && state.store_reachable;
        now.since((*received_at).max(joined_at)) < PEER_TIMEOUT
            && (is_able || joined_at > *received_at)
    }

    /// Whether none of the other members sends anything, though there are some: this
    /// controller may be isolated. `since` is when it began to depend on them.
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

    /// Whether any peer has sent its state of late.
    pub(super) fn has_recent_state(&self, now: Micros) -> bool {
        self.recent_states(now).next().is_some()
    }

    /// Whether a peer of late reached the store.
    pub(super) fn reaches_store(&self, now: Micros) -> bool {
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

    /// What the peers sent of their partitions, with the moment of its receipt.
    fn partition_states(&self) -> impl Iterator<Item = PartitionState> {
        self.records.values().flat_map(|record| {
            let partitions = record.state.partitions.iter();
            partitions.map(|partition| PartitionState {
                received_at: record.received_at,
                ..partition.clone()
            })
        })
    }

    /// The newest state of every partition: of the highest term, and of that the one
    /// received last.
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
