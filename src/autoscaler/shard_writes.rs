//! The sequence of writes of machine shards: which write is due, and what its reply means.
//!
//! At most one write is in flight. The next write waits until the cache shows the last one. After
//! a write of machines without a reply, it also waits until a fence is committed.

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

/// Minimum interval between two splits of shards. Other writes need a part of the store's write
/// rate, too.
const SPLIT_INTERVAL: Micros = Micros::from_millis(1_200);

/// Limits on one write to the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteLimits {
    /// Maximum number of mutations in a transaction.
    pub(super) max_mutations: usize,
    /// Maximum size of a value, in bytes.
    pub(super) max_value_bytes: usize,
}

/// State of the sequence of writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WritePhase {
    /// No write is in flight, and the next one may be sent.
    Idle,
    /// A write of machines or the split of a shard is in flight.
    Writing,
    /// A write of machines had no reply. The store may still carry it out, so a fence is due
    /// before any other write.
    FenceDue,
    /// A fence is in flight.
    Fencing,
}

/// The writes of machine shards.
pub(super) struct ShardWrites {
    limits: WriteLimits,
    phase: WritePhase,
    /// Revision that the cache must have reached before the next write.
    required_revision: Revision,
    last_split_at: Micros,
    /// Machines that their owners released for another partition.
    moves: BTreeSet<MachineId>,
    /// Machines that the cloud lists, but that no shard contains.
    unrecorded: BTreeSet<MachineId>,
}

impl ShardWrites {
    /// Creates the state at the start of a leadership, without a write in flight.
    pub(super) fn new(limits: WriteLimits) -> Self {
        ShardWrites {
            limits,
            phase: WritePhase::Idle,
            required_revision: Revision(0),
            last_split_at: Micros::ZERO,
            moves: BTreeSet::new(),
            unrecorded: BTreeSet::new(),
        }
    }

    /// Returns whether a cache at this revision shows all committed writes.
    pub(super) fn are_visible_at(&self, applied_revision: Revision) -> bool {
        applied_revision >= self.required_revision
    }

    /// Delays the next write until the cache has reached `revision`.
    pub(super) fn wait_for(&mut self, revision: Revision) {
        self.required_revision = self.required_revision.max(revision);
    }

    /// Finds the machines that owners released for other partitions, and the listed machines that
    /// no shard contains.
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

    /// Returns the next write, or `None` if no write is due or one is in flight.
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

    /// Returns the write that splits an oversize shard, which an earlier version wrote under a
    /// higher limit on values. The shard has to be split before that limit falls: afterwards, it
    /// could be neither changed nor shrunk. If the store carries the write out late, it fails if
    /// any of these shards has changed in the meantime.
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
        let (part_compares, mutations) = write_parts(partition, (shard, revision), parts, free);
        let leader = std::iter::once(fleet.leader.clone());
        Some(Effect::CompareAndSwap {
            write: Write::SplitShard,
            compares: leader.chain(part_compares).collect(),
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

    /// Handles the store's reply to a write of machines.
    pub(super) fn handle_machines_reply(&mut self, reply: &Reply) {
        self.phase = match reply {
            Reply::Committed(revision) => {
                self.required_revision = *revision;
                WritePhase::Idle
            }
            // The store has not carried the write out and never will.
            Reply::Conflict(_) | Reply::Rejected => WritePhase::Idle,
            _ => WritePhase::FenceDue,
        };
    }

    /// Handles the store's reply to a fence. The fence is repeated until it is committed.
    pub(super) fn handle_fence_reply(&mut self, reply: &Reply) {
        self.phase = WritePhase::FenceDue;
        if let Reply::Committed(revision) = reply {
            self.required_revision = *revision;
            self.phase = WritePhase::Idle;
        }
    }

    /// Handles the store's reply to the split of a shard.
    pub(super) fn handle_split_reply(&mut self, reply: &Reply) {
        self.phase = WritePhase::Idle;
        if let Reply::Committed(revision) = reply {
            self.required_revision = *revision;
        }
    }
}

/// Returns a write that allocates a term without granting it to an owner. Guards against a machine
/// that is recorded in two partitions: each write compares only the shards that it changes, so a
/// write without a reply could record a machine in one partition after the next write has
/// recorded it in another. All writes of machines also compare the term record. The fence changes
/// that record, so no earlier write of machines can be carried out after it.
fn fence(fleet: &FleetSnapshot<'_>) -> Effect {
    let allocated = allocate_terms(fleet.cache, 1);
    Effect::CompareAndSwap {
        write: Write::Fence,
        compares: vec![fleet.leader.clone(), allocated.compare],
        mutations: vec![allocated.mutation],
    }
}
