//! What the other modules look up in the cache.

use super::WatchCache;
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision};
use crate::jobs::ProgressRecord;
use crate::partitions::{FormatLevel, MachineRecord, PartitionOwnerRecord, ShardRecord};
use crate::store::Versioned;
use std::rc::Rc;

impl WatchCache {
    /// Whether a full reading has come.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// How many records could not be parsed since the last full reading began.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// Whether a job has a record that this version can't parse: it is not unknown, but
    /// nothing of it may start.
    pub fn is_job_unreadable(&self, id: &JobId) -> bool {
        self.unreadable_jobs.contains(id)
    }

    /// The revision of a partition's owner key, 0 if it has none.
    pub fn owner_revision(&self, partition: PartitionId) -> Revision {
        self.partition_owners
            .get(&partition)
            .map_or(Revision(0), |versioned| versioned.revision)
    }

    /// The revision of a shard (its partition and its number), 0 if there is none.
    pub fn shard_revision(&self, shard: (PartitionId, u32)) -> Revision {
        self.machine_shards
            .get(&shard)
            .map_or(Revision(0), |versioned| versioned.revision)
    }

    /// A partition's shards with their numbers and revisions, in order.
    pub fn shards(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (u32, Revision, &Rc<ShardRecord>)> {
        self.machine_shards
            .range((partition, 0)..=(partition, u32::MAX))
            .map(|((_, number), Versioned { revision, record })| (*number, *revision, record))
    }

    /// Every recorded machine of every partition.
    pub fn all_machines(&self) -> impl Iterator<Item = (PartitionId, &MachineId, &MachineRecord)> {
        let shards = self.machine_shards.iter();
        shards.flat_map(|((partition, _), Versioned { record, .. })| {
            let machines = record.0.iter();
            machines.map(move |(id, machine)| (*partition, id, machine))
        })
    }

    /// The shard (its partition and its number) that records a machine, and its record.
    pub fn machine(&self, id: &MachineId) -> Option<((PartitionId, u32), &MachineRecord)> {
        let shard = *self.machine_locations.get(id)?;
        let Versioned { record, .. } = self.machine_shards.get(&shard)?;
        Some((shard, record.0.get(id)?))
    }

    /// Whether the incarnation that a partition names still has its member lease.
    pub fn is_owner_alive(&self, owner: &PartitionOwnerRecord) -> bool {
        self.members
            .get(&owner.owner)
            .is_some_and(|versioned| versioned.revision == owner.incarnation)
    }

    /// The last owner of a partition that it handed back and that has not been granted
    /// since.
    pub fn handed_back_by(&self, partition: PartitionId) -> Option<&Label> {
        let Versioned { record, .. } = self.partition_owners.get(&partition)?;
        (record.incarnation == Revision(0)).then_some(&record.owner)
    }

    /// The format level that every controller understands.
    pub fn format_level(&self) -> FormatLevel {
        self.format
            .map_or_else(Default::default, |Versioned { record, .. }| record.level)
    }

    /// Numbers of a partition's shards that are not in use, in order.
    pub fn free_shards(&self, partition: PartitionId) -> impl Iterator<Item = u32> {
        (0..u32::MAX).filter(move |number| !self.machine_shards.contains_key(&(partition, *number)))
    }

    /// A job's progress: its pages with their numbers and revisions, in order.
    pub fn progress(&self, id: &JobId) -> impl Iterator<Item = (u32, Revision, &ProgressRecord)> {
        let pages = self
            .progress_pages
            .range((id.clone(), 0)..=(id.clone(), u32::MAX));
        pages.map(|((_, page), Versioned { revision, record })| (*page, *revision, record))
    }

    /// At most `max` pages of progress whose job has ended: garbage that nobody reads.
    pub fn orphaned_progress_pages(&self, max: usize) -> Vec<(JobId, u32)> {
        let orphaned = self
            .progress_pages
            .keys()
            .filter(|(id, _)| !self.jobs.contains_key(id));
        orphaned.take(max).cloned().collect()
    }
}
