//! The store's records as this controller has read them, in the order of their changes.
//!
//! The cache owns the parsed records and may lag behind the store. Nothing may be decided
//! by it alone: every write names the revisions that it relies on, so a cache that is out
//! of date makes the write fail. It never writes to the store and never guesses what an
//! unreadable record holds.

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

/// Records by name.
type Table<K, V> = BTreeMap<K, Versioned<V>>;

/// The store's records as this controller has read them.
#[derive(Debug, Default)]
pub struct WatchCache {
    is_loaded: bool,
    /// The last fencing term that was granted.
    pub term: Versioned<TermRecord>,
    /// The leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The machine types.
    pub types: Option<Versioned<Vec<MachineType>>>,
    /// The format level that every controller understands; none is recorded at first.
    pub format: Option<Versioned<FormatRecord>>,
    /// The states of all zones, as they were written: their subsystem parses them.
    pub zones: Option<Versioned<Value>>,
    /// The controllers that take part.
    pub members: Table<Label, MemberRecord>,
    /// Each partition's owner.
    pub partition_owners: Table<PartitionId, PartitionOwnerRecord>,
    /// Each partition's machines, by partition and number of the shard.
    pub machine_shards: Table<(PartitionId, u32), Rc<ShardRecord>>,
    /// The shard that records each machine.
    machine_locations: BTreeMap<MachineId, (PartitionId, u32)>,
    /// Jobs that have not ended.
    pub jobs: Table<JobId, Rc<JobRecord>>,
    /// Jobs that have not ended and whose record can't be parsed: nothing of them starts,
    /// and they are not reported as unknown.
    unreadable_jobs: BTreeSet<JobId>,
    unreadable_records: u64,
    /// The jobs' progress, by job and number of the page.
    pub progress_pages: Table<(JobId, u32), ProgressRecord>,
    /// Scale-outs that are not settled.
    pub scale_outs: Table<String, ScaleOutRecord>,
    /// The teams' usage, by the controller that wrote it.
    pub team_usage: Table<Label, Value>,
}

/// What a change touched, for those who keep more than the cache does.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheChange {
    /// A partition's owner.
    PartitionOwner(PartitionId),
    /// A shard of a partition's machines.
    Shard(PartitionId, u32),
    /// A job.
    Job(JobId),
    /// A page of a job's progress.
    ProgressPage(JobId, u32),
    /// Anything else.
    Other,
}

/// One change of a key: its new value, or none if it was deleted.
struct KeyUpdate<'a> {
    key: &'a str,
    value: Option<Value>,
    revision: Revision,
}

impl KeyUpdate<'_> {
    /// The value as it was written.
    fn into_versioned_value(self) -> Option<Versioned<Value>> {
        Some(Versioned {
            revision: self.revision,
            record: self.value?,
        })
    }
}

/// Sets an entry, or removes it if there is no record (any more).
fn put_entry<K: Ord, T>(table: &mut Table<K, T>, name: K, record: Option<Versioned<T>>) {
    match record {
        Some(record) => table.insert(name, record),
        None => table.remove(&name),
    };
}

impl WatchCache {
    /// Starts over from a full reading.
    pub fn load(&mut self, entries: Vec<KeyValue>) {
        *self = WatchCache {
            is_loaded: true,
            ..WatchCache::default()
        };
        for entry in entries {
            self.apply(&entry.key, Some(entry.value), entry.revision);
        }
    }

    /// Takes one change in.
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
            // A machine that moved may be at its new place already.
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

    /// The record that an update sets; none if it deletes the key, or if its value can't
    /// be parsed, which is counted and logged.
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

    /// As [`WatchCache::parse`], for records that others keep, too.
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
