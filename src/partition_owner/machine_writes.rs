//! Writes of the partition's machine shards: they record which machines are used, and which are
//! released from the partition.
//!
//! At most one such write is in flight at a time.

use super::idle_release::{IdleRelease, UnmetRequest};
use super::{Effect, OwnedPartition, Write};
use crate::clock::Micros;
use crate::ids::{MachineId, Revision};
use crate::partitions::{MachineRecord, ShardRecord, write_parts};
use crate::placement::CapacityRequest;
use crate::store::Reply;
use crate::watch_cache::WatchCache;
use crate::workers::{Machine, ReleaseOutcome};

/// Shortest interval between two writes that record machines as used.
const USE_WRITE_INTERVAL: Micros = Micros::from_millis(700);
/// Shortest interval between two writes that release machines.
const RELEASE_WRITE_INTERVAL: Micros = Micros::from_millis(500);

/// State of the writes of machine shards.
pub(super) struct MachineWrites {
    in_flight: bool,
    /// Whether machines that are not recorded as used may have sent a heartbeat.
    use_pending: bool,
    last_use_write_at: Micros,
    last_release_write_at: Micros,
}

impl MachineWrites {
    pub(super) fn new() -> Self {
        MachineWrites {
            in_flight: false,
            use_pending: true,
            last_use_write_at: Micros::ZERO,
            last_release_write_at: Micros::ZERO,
        }
    }

    /// Requests a write that records machines as used.
    pub(super) fn request_use_write(&mut self) {
        self.use_pending = true;
    }

    /// Returns whether machines are to be recorded as used now, and clears the request if so.
    ///
    /// These writes are batched because many machines come up at once. Moreover, the cache may
    /// lag behind this owner's last write: writes that depend on its outdated revisions would
    /// fail, and be repeated as fast as the store replies.
    fn begin_use_write(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_use_write_at) >= USE_WRITE_INTERVAL;
        if self.in_flight || !is_due || !self.use_pending {
            return false;
        }
        self.last_use_write_at = now;
        self.use_pending = false;
        true
    }

    fn may_release(&self, now: Micros) -> bool {
        !self.in_flight && now.since(self.last_release_write_at) >= RELEASE_WRITE_INTERVAL
    }
}

impl OwnedPartition {
    /// Returns the write that records machines which have sent their first heartbeat as used, or
    /// `None` if no such write is due. No task is launched on a machine before it is recorded as
    /// used.
    pub fn record_used_machines(&mut self, now: Micros, cache: &WatchCache) -> Option<Effect> {
        if !self.machine_writes.begin_use_write(now) {
            return None;
        }
        let mark_used = |machine: &mut Machine, record: &mut MachineRecord, _: Revision| {
            let is_new = !machine.used && machine.has_sent_heartbeat() && machine.is_active();
            let is_changed = is_new && !record.used;
            if is_changed {
                record.used = true;
                record.addr.clone_from(&machine.spec.addr);
            }
            is_changed
        };
        self.change_shards(cache, mark_used, Write::UseMachines)
    }

    /// Returns the write that releases idle machines, to other partitions that lack capacity or
    /// to the cloud, or `None` if no such write is due. `own` and `others` are the capacity
    /// requests of this partition and of the other partitions.
    pub fn release_idle_machines(
        &mut self,
        now: Micros,
        cache: &WatchCache,
        own: &[CapacityRequest],
        others: &[CapacityRequest],
    ) -> Option<Effect> {
        if !self.machine_writes.may_release(now) {
            return None;
        }
        let policy = self.policy.clone();
        let mut release = IdleRelease {
            now,
            heartbeat_timeout: self.heartbeat_timeout(),
            idle_from: self.failover.idle_from(now),
            policy: &policy,
            own_requests: own,
            unmet_requests: others.iter().map(UnmetRequest::new).collect(),
        };
        let apply = |machine: &mut Machine, record: &mut MachineRecord, revision: Revision| {
            release.apply(machine, record, revision)
        };
        let effect = self.change_shards(cache, apply, Write::ReleaseMachines)?;
        self.machine_writes.last_release_write_at = now;
        Some(effect)
    }

    /// Applies `change` to the records of the partition's machines, and returns one write of as
    /// many changed shards as a transaction can hold, or `None` if nothing changes. `change`
    /// returns whether it has changed the record. Shards that do not fit are left to a later
    /// write.
    fn change_shards(
        &mut self,
        cache: &WatchCache,
        mut change: impl FnMut(&mut Machine, &mut MachineRecord, Revision) -> bool,
        write: impl Fn(Vec<MachineId>) -> Write,
    ) -> Option<Effect> {
        let mut transaction = self.begin_transaction();
        let mut changed = Vec::new();
        let value_bytes = self.settings.platform.state.lowest_value_bytes();
        let mut free_shards = cache.free_shards(self.id());
        for (shard, revision, old) in cache.shards(self.id()) {
            let is_oversize = old.is_oversize(value_bytes);
            // An earlier version may have written the shard under a higher value limit. It is
            // split, and all parts are written in one transaction, so that each machine is in
            // exactly one shard at any time.
            let part_count = if is_oversize {
                (**old).clone().split(value_bytes).len()
            } else {
                1
            };
            if part_count > transaction.max_mutations() {
                continue;
            }
            if part_count > transaction.remaining_mutations() || transaction.exceeds_bytes() {
                break;
            }
            let Some(new) = self.change_shard(revision, old, &mut change, &mut changed) else {
                continue;
            };
            let bytes = new.estimated_size();
            let parts = if is_oversize {
                new.split(value_bytes)
            } else {
                vec![new]
            };
            let (compares, mutations) =
                write_parts(self.id(), (shard, revision), parts, &mut free_shards);
            transaction.append(compares, mutations, bytes);
        }
        if changed.is_empty() {
            return None;
        }
        self.machine_writes.in_flight = true;
        Some(transaction.into_effect(write(changed)))
    }

    /// Returns a copy of a shard with its changed records, or `None` if no record changes. Adds
    /// the machines of the changed records to `changed`.
    fn change_shard(
        &mut self,
        revision: Revision,
        old: &ShardRecord,
        change: &mut impl FnMut(&mut Machine, &mut MachineRecord, Revision) -> bool,
        changed: &mut Vec<MachineId>,
    ) -> Option<ShardRecord> {
        let mut new: Option<ShardRecord> = None;
        for (id, old_record) in &old.0 {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            let mut record = old_record.clone();
            if change(machine, &mut record, revision) {
                let new = new.get_or_insert_with(|| old.clone());
                new.0.insert(id.clone(), record);
                changed.push(id.clone());
            }
        }
        new
    }

    pub(super) fn handle_use_reply(&mut self, ids: &[MachineId], reply: &Reply) {
        self.machine_writes.in_flight = false;
        // Another write follows for machines that did not fit into this one, or if it failed.
        self.machine_writes.request_use_write();
        if !matches!(reply, Reply::Committed(_)) {
            return;
        }
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.used = true;
                self.scheduling.request_pass();
            }
        }
    }

    pub(super) fn handle_release_reply(&mut self, ids: &[MachineId], reply: &Reply) {
        self.machine_writes.in_flight = false;
        let outcome = match reply {
            Reply::Committed(_) => ReleaseOutcome::Committed,
            // The write was not carried out and never will be: the partition keeps the machines.
            Reply::Conflict(_) | Reply::Rejected => ReleaseOutcome::Rejected,
            // The write may still be carried out: the machines are not used in the meantime.
            _ => ReleaseOutcome::Indeterminate,
        };
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.record_release_outcome(outcome);
            }
        }
    }
}
