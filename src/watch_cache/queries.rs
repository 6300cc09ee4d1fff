//! Lookups in the cache by other modules.

use super::WatchCache;
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision};
use crate::jobs::ProgressRecord;
use crate::partitions::{FormatLevel, MachineRecord, PartitionOwnerRecord, ShardRecord};
use crate::store::Versioned;
use std::rc::Rc;

impl WatchCache {
    /// Returns whether the result of a full read of the store has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns how many records could not be parsed in the last full read and the changes since.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// Returns whether a job has a record that this version cannot parse. The job exists, but none
    /// of its tasks may start.
    pub fn is_job_unreadable(&self, id: &JobId) -> bool {
        self.unreadable_jobs.contains(id)
    }

    /// Returns the revision of a partition's owner key, or 0 if there is no such key.
    pub fn owner_revision(&self, partition: PartitionId) -> Revision {
        self.partition_owners
            .get(&partition)
            .map_or(Revision(0), |versioned| versioned.revision)
    }

    /// Returns the revision of a shard, or 0 if there is no such shard. `shard` is its partition
    /// and its number.
    pub fn shard_revision(&self, shard: (PartitionId, u32)) -> Revision {
        self.machine_shards
            .get(&shard)
            .map_or(Revision(0), |versioned| versioned.revision)
    }

    /// Returns the shards of a partition with their numbers and revisions, ordered by number.
    pub fn shards(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (u32, Revision, &Rc<ShardRecord>)> {
        self.machine_shards
            .range((partition, 0)..=(partition, u32::MAX))
            .map(|((_, number), Versioned { revision, record })| (*number, *revision, record))
    }

    /// Returns the recorded machines of all partitions.
    pub fn all_machines(&self) -> impl Iterator<Item = (PartitionId, &MachineId, &MachineRecord)> {
        let shards = self.machine_shards.iter();
        shards.flat_map(|((partition, _), Versioned { record, .. })| {
            let machines = record.0.iter();
            machines.map(move |(id, machine)| (*partition, id, machine))
        })
    }

    /// Returns the record of a machine and the shard that contains it (its partition and its
    /// number), or `None` if the machine is not recorded.
    pub fn machine(&self, id: &MachineId) -> Option<((PartitionId, u32), &MachineRecord)> {
        let shard = *self.machine_locations.get(id)?;
        let Versioned { record, .. } = self.machine_shards.get(&shard)?;
        Some((shard, record.0.get(id)?))
    }

    /// Returns whether the incarnation in an owner record is still a member.
    pub fn is_owner_alive(&self, owner: &PartitionOwnerRecord) -> bool {
        self.members
            .get(&owner.owner)
            .is_some_and(|versioned| versioned.revision == owner.incarnation)
    }

    /// Returns the member that handed a partition back, or `None` if the partition has been granted
    /// since or was never handed back.
    pub fn handed_back_by(&self, partition: PartitionId) -> Option<&Label> {
        let Versioned { record, .. } = self.partition_owners.get(&partition)?;
        (record.incarnation == Revision(0)).then_some(&record.owner)
    }

    /// Returns the recorded format level that every controller understands, or level 0 if none is
    /// recorded.
    pub fn format_level(&self) -> FormatLevel {
        self.format
            .map_or_else(Default::default, |Versioned { record, .. }| record.level)
    }

    /// Returns the shard numbers that a partition does not use, in ascending order.
    pub fn free_shards(&self, partition: PartitionId) -> impl Iterator<Item = u32> {
        (0..u32::MAX).filter(move |number| !self.machine_shards.contains_key(&(partition, *number)))
    }

    /// Returns the pages of a job's progress with their numbers and revisions, ordered by number.
    pub fn progress(&self, id: &JobId) -> impl Iterator<Item = (u32, Revision, &ProgressRecord)> {
        let pages = self
            .progress_pages
            .range((id.clone(), 0)..=(id.clone(), u32::MAX));
        pages.map(|((_, page), Versioned { revision, record })| (*page, *revision, record))
    }

    /// Returns the keys of at most `max` progress pages whose job is not in the cache. The pages of
    /// an ended job are never read again and can be deleted.
    pub fn orphaned_progress_pages(&self, max: usize) -> Vec<(JobId, u32)> {
        let orphaned = self
            .progress_pages
            .keys()
            .filter(|(id, _)| !self.jobs.contains_key(id));
        orphaned.take(max).cloned().collect()
    }
}
