//! Cache of the store's records, to which this controller applies the changes in their order.
//!
//! The cache owns the parsed records and may lag behind the store. No write may rely on the cache
//! alone: every write compares the revisions that it relies on, so it fails if the cache was out
//! of date. The cache never writes to the store and never guesses the content of an unreadable
//! record.

mod queries;
mod unreadable_record;

use crate::cloud::{MachineType, ScaleOutRecord};
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision};
use crate::jobs::{JobRecord, ProgressRecord};
use crate::partitions::{
    FormatRecord, LeaderRecord, MemberRecord, PartitionOwnerRecord, ShardRecord, TermRecord,
};
use crate::store::keys::Key;
use crate::store::{KeyValue, Versioned, WatchEvent};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use unreadable_record::parse_record;

/// Records with their revisions, by the part of the key that identifies each of them.
type Table<K, V> = BTreeMap<K, Versioned<V>>;

/// The store's records as this controller has read them.
#[derive(Debug, Default)]
pub struct WatchCache {
    is_loaded: bool,
    /// Record of the last allocated fencing term.
    pub term: Versioned<TermRecord>,
    /// Record of the leader, `None` if there is no leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Machine types that the cloud offers, `None` until a controller has recorded them.
    pub types: Option<Versioned<Vec<MachineType>>>,
    /// Format level that every controller understands, `None` until one is recorded.
    pub format: Option<Versioned<FormatRecord>>,
    /// States of all zones, as the stored JSON. The zone subsystem parses it.
    pub zones: Option<Versioned<Value>>,
    /// Controllers that are members of the cluster.
    pub members: Table<Label, MemberRecord>,
    /// Owner of each partition.
    pub partition_owners: Table<PartitionId, PartitionOwnerRecord>,
    /// Shards of the machines, by partition and number of the shard.
    pub machine_shards: Table<(PartitionId, u32), Rc<ShardRecord>>,
    /// Shard that records each machine, as its partition and its number.
    machine_locations: BTreeMap<MachineId, (PartitionId, u32)>,
    /// Jobs that have not ended.
    pub jobs: Table<JobId, Rc<JobRecord>>,
    /// Jobs that have not ended and whose record cannot be parsed. None of their tasks is
    /// started, and they are not reported as unknown.
    unreadable_jobs: BTreeSet<JobId>,
    unreadable_records: u64,
    /// Pages of the jobs' progress, by job and number of the page.
    pub progress_pages: Table<(JobId, u32), ProgressRecord>,
    /// Scale-outs that are in progress or refused, by name.
    pub scale_outs: Table<String, ScaleOutRecord>,
    /// Usage of the teams as the stored JSON, by the controller that wrote it.
    pub team_usage: Table<Label, Value>,
}

/// The record that a change affected, for callers that keep state derived from records.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheChange {
    /// The owner of a partition.
    PartitionOwner(PartitionId),
    /// A shard of a partition's machines, by its number.
    Shard(PartitionId, u32),
    /// A job.
    Job(JobId),
    /// A page of a job's progress, by its number.
    ProgressPage(JobId, u32),
    /// Any other record, or a key of unknown kind.
    Other,
}

/// A change of a key. `value` is the new value, or `None` if the key was deleted.
struct KeyUpdate<'a> {
    key: &'a str,
    value: Option<Value>,
    revision: Revision,
}

impl KeyUpdate<'_> {
    /// Returns the value without parsing it, or `None` if the key was deleted.
    fn into_versioned_value(self) -> Option<Versioned<Value>> {
        Some(Versioned {
            revision: self.revision,
            record: self.value?,
        })
    }
}

/// Sets the record of a key in a table, or removes the key if there is no record.
fn put_entry<K: Ord, T>(table: &mut Table<K, T>, key: K, record: Option<Versioned<T>>) {
    match record {
        Some(record) => table.insert(key, record),
        None => table.remove(&key),
    };
}

impl WatchCache {
    /// Replaces the content of the cache by the result of a full read of the store.
    pub fn load(&mut self, entries: Vec<KeyValue>) {
        *self = WatchCache {
            is_loaded: true,
            ..WatchCache::default()
        };
        for entry in entries {
            self.apply(&entry.key, Some(entry.value), entry.revision);
        }
    }

    /// Applies a change and returns the record that it affected.
    pub fn apply_event(&mut self, event: WatchEvent) -> CacheChange {
        match (event.set, event.delete) {
            (Some(key), _) => self.apply(&key, Some(event.value), event.revision),
            (None, Some(key)) => self.apply(&key, None, event.revision),
            (None, None) => CacheChange::Other,
        }
    }

    fn apply(&mut self, key: &str, value: Option<Value>, revision: Revision) -> CacheChange {
        let update = KeyUpdate {
            key,
            value,
            revision,
        };
        match Key::parse(key) {
            None => return CacheChange::Other,
            Some(Key::PartitionOwner(partition)) => {
                return self.apply_partition_owner(partition, update);
            }
            Some(Key::Shard { partition, number }) => {
                return self.apply_shard(partition, number, update);
            }
            Some(Key::Job(id)) => return self.apply_job(id, update),
            Some(Key::ProgressPage { job, page }) => {
                return self.apply_progress_page(job, page, update);
            }
            Some(Key::Term) => self.term = self.parse(update).unwrap_or_default(),
            Some(Key::Leader) => self.leader = self.parse(update),
            Some(Key::MachineTypes) => self.types = self.parse(update),
            Some(Key::Format) => self.format = self.parse(update),
            Some(Key::Zones) => self.zones = update.into_versioned_value(),
            Some(Key::Member(label)) => {
                let record = self.parse(update);
                put_entry(&mut self.members, label, record);
            }
            Some(Key::TeamUsage(label)) => {
                let usage = update.into_versioned_value();
                put_entry(&mut self.team_usage, label, usage);
            }
            Some(Key::ScaleOut(name)) => {
                let record = self.parse(update);
                put_entry(&mut self.scale_outs, name, record);
            }
        }
        CacheChange::Other
    }

    fn apply_partition_owner(
        &mut self,
        partition: PartitionId,
        update: KeyUpdate<'_>,
    ) -> CacheChange {
        let record = self.parse(update);
        put_entry(&mut self.partition_owners, partition, record);
        CacheChange::PartitionOwner(partition)
    }

    fn apply_shard(
        &mut self,
        partition: PartitionId,
        number: u32,
        update: KeyUpdate<'_>,
    ) -> CacheChange {
        let shard = (partition, number);
        let record = self.parse_shared::<ShardRecord>(update);
        if let Some(Versioned { record: old, .. }) = self.machine_shards.get(&shard) {
            // A machine that has moved may already be located in its new shard.
            for id in old.0.keys() {
                if self.machine_locations.get(id) == Some(&shard) {
                    self.machine_locations.remove(id);
                }
            }
        }
        if let Some(Versioned { record: new, .. }) = &record {
            self.machine_locations
                .extend(new.0.keys().map(|id| (id.clone(), shard)));
        }
        put_entry(&mut self.machine_shards, shard, record);
        CacheChange::Shard(partition, number)
    }

    fn apply_job(&mut self, id: JobId, update: KeyUpdate<'_>) -> CacheChange {
        let is_recorded = update.value.is_some();
        let record = self.parse_shared(update);
        if is_recorded && record.is_none() {
            self.unreadable_jobs.insert(id.clone());
        } else {
            self.unreadable_jobs.remove(&id);
        }
        put_entry(&mut self.jobs, id.clone(), record);
        CacheChange::Job(id)
    }

    fn apply_progress_page(&mut self, job: JobId, page: u32, update: KeyUpdate<'_>) -> CacheChange {
        let record = self.parse(update);
        put_entry(&mut self.progress_pages, (job.clone(), page), record);
        CacheChange::ProgressPage(job, page)
    }

    /// Returns the record that an update sets, or `None` if the update deletes the key or its value
    /// cannot be parsed. A value that cannot be parsed is counted and logged.
    fn parse<T: DeserializeOwned>(&mut self, update: KeyUpdate<'_>) -> Option<Versioned<T>> {
        match parse_record(update.key, update.value?) {
            Ok(record) => Some(Versioned {
                revision: update.revision,
                record,
            }),
            Err(unreadable) => {
                self.unreadable_records += 1;
                let (key, error) = (&unreadable.key, &unreadable.source);
                tracing::error!(key, %error, "record unreadable");
                None
            }
        }
    }

    /// Parses an update like [`WatchCache::parse`]. Returns the record in an `Rc`, since other
    /// modules keep references to it.
    fn parse_shared<T: DeserializeOwned>(
        &mut self,
        update: KeyUpdate<'_>,
    ) -> Option<Versioned<Rc<T>>> {
        let Versioned { revision, record } = self.parse(update)?;
        Some(Versioned {
            revision,
            record: Rc::new(record),
        })
    }
}

#[cfg(test)]
mod tests;
