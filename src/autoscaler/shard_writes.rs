//! The writes of machines' shards, one at a time: which is due, and what its reply means.

use super::instance_list::InstanceList;
use super::releases::Releases;
use super::scale_outs::ScaleOuts;
use super::shard_update::ShardUpdate;
use super::{Effect, FleetSnapshot, Write};
use crate::clock::Micros;
use crate::cloud::InstanceState;
use crate::ids::{MachineId, Revision};
use crate::leader::allocate_terms;
use crate::partitions::{ReleaseReason, write_parts};
use crate::store::{Reply, Versioned};
use crate::watch_cache::WatchCache;
use std::collections::BTreeSet;

/// Shards are split no faster than this: other writes need the budget, too.
const SPLIT_INTERVAL: Micros = Micros::from_millis(1_200);

/// What one write to the store may hold.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteLimits {
    /// Mutations of one transaction.
    pub(super) max_mutations: usize,
    /// Size of one value, in bytes.
    pub(super) max_value_bytes: usize,
}

/// Which write of shards is in flight, or due before any other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WritePhase {
    /// None: the next may go out.
    Idle,
    /// Of machines, or of a shard in parts.
    Writing,
    /// A write of machines had no reply: it may still be carried out, so a fence is due.
    FenceDue,
    /// The fence is in flight.
    Fencing,
}

/// The writes of machines' shards.
pub(super) struct ShardWrites {
    limits: WriteLimits,
    phase: WritePhase,
    /// The cache must have reached this before the next write.
    visible_from: Revision,
    last_split_at: Micros,
    /// Released by an owner, for another partition.
    moves: BTreeSet<MachineId>,
    /// Listed by the cloud, but recorded nowhere.
    unrecorded: BTreeSet<MachineId>,
}

impl ShardWrites {
    /// No write in flight.
    pub(super) fn new(limits: WriteLimits) -> Self {
        ShardWrites {
            limits,
            phase: WritePhase::Idle,
            visible_from: Revision(0),
            last_split_at: Micros::ZERO,
            moves: BTreeSet::new(),
            unrecorded: BTreeSet::new(),
        }
    }

    /// Whether a cache of this revision shows all writes that were committed.
    pub(super) fn are_visible_at(&self, applied_revision: Revision) -> bool {
        applied_revision >= self.visible_from
    }

    /// The cache must have reached this revision, too, before the next write.
    pub(super) fn wait_for(&mut self, revision: Revision) {
        self.visible_from = self.visible_from.max(revision);
    }

    /// Finds what owners released for other partitions, and what is listed but recorded nowhere.
    pub(super) fn scan(
        &mut self,
        cache: &WatchCache,
        instances: &InstanceList,
        scale_outs: &ScaleOuts,
    ) {
        self.moves = cache
            .all_machines()
            .filter(|(_, _, machine)| machine.release_reason == Some(ReleaseReason::Move))
            .map(|(_, id, _)| id.clone())
            .collect();
        let scaled_out: BTreeSet<&MachineId> = scale_outs
            .completed()
            .flat_map(|scale_out| scale_out.machines)
            .collect();
        self.unrecorded = instances
            .iter()
            .filter(|instance| {
                instance.state != InstanceState::Failed
                    && cache.machine(&instance.id).is_none()
                    && !scaled_out.contains(&instance.id)
            })
            .map(|instance| instance.id.clone())
            .collect();
    }

    /// The next write, if one is due and none is in flight.
    pub(super) fn next_write(
        &mut self,
        now: Micros,
        fleet: &FleetSnapshot<'_>,
        instances: &InstanceList,
        scale_outs: &ScaleOuts,
        releases: &Releases,
    ) -> Option<Effect> {
        if !self.are_visible_at(fleet.applied_revision) {
            return None;
        }
        match self.phase {
            WritePhase::Idle => {
                let split = self.split_oversize(now, fleet);
                let write =
                    split.or_else(|| self.record_machines(fleet, instances, scale_outs, releases));
                if write.is_some() {
                    self.phase = WritePhase::Writing;
                }
                write
            }
            WritePhase::FenceDue => {
                self.phase = WritePhase::Fencing;
                Some(fence(fleet))
            }
            WritePhase::Writing | WritePhase::Fencing => None,
        }
    }

    /// Records a shard in parts that an earlier version wrote under a higher limit, before
    /// that limit falls: then it could be neither changed nor shrunk any more. Should the
    /// write be carried out late, it fails if any of these shards has changed since.
    fn split_oversize(&mut self, now: Micros, fleet: &FleetSnapshot<'_>) -> Option<Effect> {
        if now.since(self.last_split_at) < SPLIT_INTERVAL {
            return None;
        }
        let WriteLimits {
            max_mutations,
            max_value_bytes,
        } = self.limits;
        let shards = fleet.cache.machine_shards.iter();
        let ((partition, shard), revision, parts) = shards
            .filter(
                |(
                    _,
                    Versioned {
                        record: machines, ..
                    },
                )| machines.is_oversize(max_value_bytes),
            )
            .map(
                |(
                    key,
                    Versioned {
                        revision,
                        record: machines,
                    },
                )| {
                    let parts = (**machines).clone().split(max_value_bytes);
                    (*key, *revision, parts)
                },
            )
            .find(|(.., parts)| parts.len() <= max_mutations)?;
        self.last_split_at = now;
        tracing::info!(%partition, shard, parts = parts.len(), "shard split");
        let free = fleet.cache.free_shards(partition);
        let (of_parts, mutations) = write_parts(partition, (shard, revision), parts, free);
        let leader = std::iter::once(fleet.leader.clone());
        Some(Effect::CompareAndSwap {
            write: Write::SplitShard,
            compares: leader.chain(of_parts).collect(),
            mutations,
        })
    }

    fn record_machines(
        &self,
        fleet: &FleetSnapshot<'_>,
        instances: &InstanceList,
        scale_outs: &ScaleOuts,
        releases: &Releases,
    ) -> Option<Effect> {
        let mut update = ShardUpdate::new(fleet, self.limits)?;
        update.add_scaled_out(scale_outs);
        update.remove_released(instances);
        update.adopt(&self.unrecorded, instances, releases);
        update.move_machines(&self.moves, releases);
        update.into_effect()
    }

    /// Takes in the store's reply to a write of machines.
    pub(super) fn handle_machines_reply(&mut self, reply: &Reply) {
        self.phase = match reply {
            Reply::Committed(revision) => {
                self.visible_from = *revision;
                WritePhase::Idle
            }
            // Surely not carried out, and it never will be.
            Reply::Conflict(_) | Reply::Rejected => WritePhase::Idle,
            _ => WritePhase::FenceDue,
        };
    }

    /// Takes in the store's reply to a fence, which is repeated until it is committed.
    pub(super) fn handle_fence_reply(&mut self, reply: &Reply) {
        self.phase = WritePhase::FenceDue;
        if let Reply::Committed(revision) = reply {
            self.visible_from = *revision;
            self.phase = WritePhase::Idle;
        }
    }

    /// Takes in the store's reply to a split.
    pub(super) fn handle_split_reply(&mut self, reply: &Reply) {
        self.phase = WritePhase::Idle;
        if let Reply::Committed(revision) = reply {
            self.visible_from = *revision;
        }
    }
}

/// Takes a term that no owner gets. Guards against a machine in two partitions: a write without
/// a reply that records it in one could be carried out after the next one has recorded it in
/// another, since each names only the shards that it changes. All of them name the term's key,
/// so none is carried out after this.
fn fence(fleet: &FleetSnapshot<'_>) -> Effect {
    let allocated = allocate_terms(fleet.cache, 1);
    Effect::CompareAndSwap {
        write: Write::Fence,
        compares: vec![fleet.leader.clone(), allocated.compare],
        mutations: vec![allocated.mutation],
    }
}
