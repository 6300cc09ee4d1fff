//! What this controller has read of the store, in the order of its changes.
//!
//! It may lag. Nothing is decided by it alone: every write names the revisions
//! that it relies on, so a view that is out of date makes the write fail.

use crate::cloud::{MachineType, ScaleOutRecord};
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision};
use crate::jobs::{JobRecord, ProgressRecord};
use crate::partitions::{
    FormatLevel, FormatRecord, LeaderRecord, MachineRecord, MemberRecord, PartitionOwnerRecord,
    ShardRecord, TermRecord,
};
use crate::store::{KeyValue, WatchEvent};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type Table<K, V> = BTreeMap<K, (Revision, V)>;

/// The store's records as this controller has read them.
#[derive(Debug, Default)]
pub struct WatchCache {
    /// Whether a full reading has come.
    pub loaded: bool,
    /// The last term given out.
    pub term: (Revision, TermRecord),
    /// Who leads.
    pub leader: Option<(Revision, LeaderRecord)>,
    /// The machine types.
    pub types: Option<(Revision, Vec<MachineType>)>,
    /// The format level that every controller understands; none is recorded at first.
    pub format: Option<(Revision, FormatRecord)>,
    /// The states of all zones, as they were written: their subsystem reads them.
    pub zones: Option<(Revision, Value)>,
    /// The controllers that take part.
    pub members: Table<Label, MemberRecord>,
    /// Who holds each partition.
    pub partition_owners: Table<PartitionId, PartitionOwnerRecord>,
    /// Each partition's machines, in shards.
    pub machine_shards: Table<(PartitionId, u32), Rc<ShardRecord>>,
    /// Where each machine is recorded.
    pub(crate) machine_locations: BTreeMap<MachineId, (PartitionId, u32)>,
    /// Jobs that are not over.
    pub jobs: Table<JobId, Rc<JobRecord>>,
    /// Jobs that are not over and whose record can't be read: nothing of them starts, and
    /// nobody says that they are unknown.
    pub unreadable_jobs: BTreeSet<JobId>,
    /// Records that could not be read so far.
    pub unreadable: u64,
    /// Their progress, in pages.
    pub progress_pages: Table<(JobId, u32), ProgressRecord>,
    /// Rentals that are not settled.
    pub scale_outs: Table<String, ScaleOutRecord>,
    /// The teams' sums, by who wrote them.
    pub team_usage: Table<Label, Value>,
}

/// What a change touched, for those who keep more than the cache does.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheChange {
    /// Who holds a partition.
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

/// What a key's value says; none: there is none, or it can't be read. An earlier or a
/// later version may have written it, so it is told and counted, and never guessed at.
fn read<T: DeserializeOwned>(key: &str, value: Option<Value>, unreadable: &mut u64) -> Option<T> {
    match serde_json::from_value(value?) {
        Ok(record) => Some(record),
        Err(error) => {
            *unreadable += 1;
            tracing::error!(key, %error, "a record can't be read");
            None
        }
    }
}

fn put<K: Ord, T>(table: &mut Table<K, T>, key: K, record: Option<T>, revision: Revision) {
    match record {
        Some(record) => table.insert(key, (revision, record)),
        None => table.remove(&key),
    };
}

impl WatchCache {
    /// Starts over from a full reading.
    pub fn load(&mut self, rows: Vec<KeyValue>) {
        *self = WatchCache {
            loaded: true,
            ..WatchCache::default()
        };
        for row in rows {
            self.apply(&row.key, Some(row.value), row.revision);
        }
    }

    /// Takes one change in.
    pub fn apply_event(&mut self, c: WatchEvent) -> CacheChange {
        match (c.set, c.delete) {
            (Some(key), _) => self.apply(&key, Some(c.value), c.revision),
            (None, Some(key)) => self.apply(&key, None, c.revision),
            (None, None) => CacheChange::Other,
        }
    }

    fn apply(&mut self, key: &str, value: Option<Value>, revision: Revision) -> CacheChange {
        let unreadable = &mut self.unreadable;
        let parts: Vec<&str> = key.split('/').collect();
        match parts.as_slice() {
            ["r", "term"] => {
                let record = read(key, value, unreadable);
                self.term = record.map_or_else(Default::default, |r| (revision, r));
            }
            ["r", "leader"] => {
                self.leader = read(key, value, unreadable).map(|r| (revision, r));
            }
            ["r", "types"] => {
                self.types = read(key, value, unreadable).map(|r| (revision, r));
            }
            ["r", "format"] => {
                self.format = read(key, value, unreadable).map(|r| (revision, r));
            }
            ["r", "zones"] => self.zones = value.map(|v| (revision, v)),
            ["r", "members", label] => {
                let record = read(key, value, unreadable);
                put(&mut self.members, Label::from(*label), record, revision);
            }
            ["r", "sums", label] => put(&mut self.team_usage, Label::from(*label), value, revision),
            ["r", "hires", name] => {
                let record = read(key, value, unreadable);
                put(&mut self.scale_outs, name.to_string(), record, revision);
            }
            ["r", "blocks", b, "holder"] => {
                let Ok(b) = b.parse().map(PartitionId) else {
                    return CacheChange::Other;
                };
                let record = read(key, value, unreadable);
                put(&mut self.partition_owners, b, record, revision);
                return CacheChange::PartitionOwner(b);
            }
            ["r", "blocks", b, "machines", shard] => {
                let (Ok(b), Ok(shard)) = (b.parse().map(PartitionId), shard.parse()) else {
                    return CacheChange::Other;
                };
                let record = read(key, value, unreadable).map(Rc::new);
                self.put_shard((b, shard), record, revision);
                return CacheChange::Shard(b, shard);
            }
            ["r", "jobs", id] => {
                let id = JobId::from(*id);
                let there = value.is_some();
                let record = read(key, value, unreadable).map(Rc::new);
                if there && record.is_none() {
                    self.unreadable_jobs.insert(id.clone());
                } else {
                    self.unreadable_jobs.remove(&id);
                }
                put(&mut self.jobs, id.clone(), record, revision);
                return CacheChange::Job(id);
            }
            ["r", "done", id, page] => {
                if let Ok(page) = page.parse() {
                    let id = JobId::from(*id);
                    let record = read(key, value, unreadable);
                    put(
                        &mut self.progress_pages,
                        (id.clone(), page),
                        record,
                        revision,
                    );
                    return CacheChange::ProgressPage(id, page);
                }
            }
            _ => {}
        }
        CacheChange::Other
    }

    fn put_shard(
        &mut self,
        at: (PartitionId, u32),
        record: Option<Rc<ShardRecord>>,
        revision: Revision,
    ) {
        if let Some((_, old)) = self.machine_shards.get(&at) {
            // A machine that moved may be at its new place already.
            for id in old.0.keys() {
                if self.machine_locations.get(id) == Some(&at) {
                    self.machine_locations.remove(id);
                }
            }
        }
        put(&mut self.machine_shards, at, record, revision);
        if let Some((_, new)) = self.machine_shards.get(&at) {
            self.machine_locations
                .extend(new.0.keys().map(|id| (id.clone(), at)));
        }
    }

    /// The revision of a partition's owner key, 0 if it has none.
    pub fn owner_revision(&self, b: PartitionId) -> Revision {
        self.partition_owners.get(&b).map_or(Revision(0), |h| h.0)
    }

    /// The revision of a shard, 0 if there is none.
    pub fn shard_revision(&self, at: (PartitionId, u32)) -> Revision {
        self.machine_shards.get(&at).map_or(Revision(0), |m| m.0)
    }

    /// A partition's shards, in order.
    pub fn shards(
        &self,
        b: PartitionId,
    ) -> impl Iterator<Item = (u32, Revision, &Rc<ShardRecord>)> {
        self.machine_shards
            .range((b, 0)..=(b, u32::MAX))
            .map(|((_, n), (revision, rec))| (*n, *revision, rec))
    }

    /// The recorded machines of one partition.
    pub fn machines_of(
        &self,
        b: PartitionId,
    ) -> impl Iterator<Item = (&MachineId, &MachineRecord)> {
        self.shards(b).flat_map(|(_, _, rec)| rec.0.iter())
    }

    /// Every recorded machine of every partition.
    pub fn all_machines(&self) -> impl Iterator<Item = (PartitionId, &MachineId, &MachineRecord)> {
        let shards = self.machine_shards.iter();
        shards.flat_map(|((b, _), (_, rec))| rec.0.iter().map(move |(id, m)| (*b, id, m)))
    }

    /// Where a machine is recorded, and how.
    pub fn machine(&self, id: &MachineId) -> Option<((PartitionId, u32), &MachineRecord)> {
        let at = *self.machine_locations.get(id)?;
        let (_, rec) = self.machine_shards.get(&at)?;
        Some((at, rec.0.get(id)?))
    }

    /// Whether the incarnation that a partition names still has its member lease.
    pub fn is_owner_alive(&self, rec: &PartitionOwnerRecord) -> bool {
        self.members
            .get(&rec.owner)
            .is_some_and(|(revision, _)| *revision == rec.incarnation)
    }

    /// Who handed a partition back that nobody has been granted since.
    pub fn handed_back_by(&self, b: PartitionId) -> Option<&Label> {
        let (_, rec) = self.partition_owners.get(&b)?;
        (rec.incarnation == Revision(0)).then_some(&rec.owner)
    }

    /// The format level that every controller understands.
    pub fn format_level(&self) -> FormatLevel {
        self.format.map_or_else(Default::default, |(_, r)| r.level)
    }

    /// Numbers of a partition's shards that are not in use, in order.
    pub fn free_shards(&self, b: PartitionId) -> impl Iterator<Item = u32> {
        (0..u32::MAX).filter(move |n| !self.machine_shards.contains_key(&(b, *n)))
    }

    /// A job's progress, with the revisions of its pages.
    pub fn progress(&self, id: &JobId) -> impl Iterator<Item = (u32, Revision, &ProgressRecord)> {
        let pages = self
            .progress_pages
            .range((id.clone(), 0)..=(id.clone(), u32::MAX));
        pages.map(|((_, page), (revision, rec))| (*page, *revision, rec))
    }

    /// Progress of jobs that are over, of no use to anyone: some of it.
    pub fn garbage(&self, most: usize) -> Vec<(JobId, u32)> {
        let over = self
            .progress_pages
            .keys()
            .filter(|(id, _)| !self.jobs.contains_key(id));
        over.take(most).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
