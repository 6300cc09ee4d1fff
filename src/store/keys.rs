//! The names of all keys. No other module builds or parses a key.
//!
//! Stored keys outlive the version that wrote them, so their path segments must never change.
//! They keep the words of the first version, such as `blocks` for partitions and `holder` for
//! an owner.

use crate::ids::{JobId, Label, PartitionId};

/// Prefix of all keys that every controller loads and watches. Records of ended jobs lie
/// outside it, because they accumulate: a watch or a restart must not read all of them.
pub const ROOT: &str = "r/";

/// Key of the last allocated fencing term.
pub const TERM: &str = "r/term";
/// Key of the leader record.
pub const LEADER: &str = "r/leader";
/// Key of the list of machine types.
pub const TYPES: &str = "r/types";
/// Key of the highest format level that every controller understands.
pub const FORMAT: &str = "r/format";
/// Key of the states of all zones.
pub const ZONES: &str = "r/zones";

const MEMBERS: &str = "members";
const PARTITIONS: &str = "blocks";
const OWNER: &str = "holder";
const SHARDS: &str = "machines";
const JOBS: &str = "jobs";
const PROGRESS: &str = "done";
const ENDED: &str = "ended";
const TEAM_USAGE: &str = "sums";
const SCALE_OUTS: &str = "hires";

/// Returns the key of a controller's membership record.
pub fn member(label: &Label) -> String {
    format!("{ROOT}{MEMBERS}/{label}")
}

/// Returns the key of the record of a partition's owner.
pub fn partition_owner(partition: PartitionId) -> String {
    format!("{ROOT}{PARTITIONS}/{partition}/{OWNER}")
}

/// Returns the key of one shard of a partition's list of machines. The list is sharded because
/// it can exceed the store's value size limit.
pub fn shard(partition: PartitionId, number: u32) -> String {
    format!("{ROOT}{PARTITIONS}/{partition}/{SHARDS}/{number}")
}

/// Returns the key of the record of a live job, i.e. one that has not ended.
pub fn job(id: &JobId) -> String {
    format!("{ROOT}{JOBS}/{id}")
}

/// Returns the key of a page of a job's progress. Pages are numbered from 0.
pub fn progress_page(id: &JobId, page: u32) -> String {
    format!("{ROOT}{PROGRESS}/{id}/{page:04}")
}

/// Returns the key of the record of an ended job, which lies outside [`ROOT`].
pub fn ended(id: &JobId) -> String {
    format!("{ENDED}/{id}")
}

/// Returns the key of the teams' usage of the partitions that a controller owns.
pub fn team_usage(label: &Label) -> String {
    format!("{ROOT}{TEAM_USAGE}/{label}")
}

/// Returns the key of the record of a scale-out.
pub fn scale_out(name: &str) -> String {
    format!("{ROOT}{SCALE_OUTS}/{name}")
}

/// A parsed key below [`ROOT`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// The last allocated fencing term.
    Term,
    /// The leader record.
    Leader,
    /// The list of machine types.
    MachineTypes,
    /// The highest format level that every controller understands.
    Format,
    /// The states of all zones.
    Zones,
    /// The membership record of a controller.
    Member(Label),
    /// The teams' usage of the partitions that a controller owns.
    TeamUsage(Label),
    /// The record of a scale-out, by its name.
    ScaleOut(String),
    /// The record of a partition's owner.
    PartitionOwner(PartitionId),
    /// A shard of a partition's list of machines.
    Shard {
        /// The partition.
        partition: PartitionId,
        /// The shard's number within the partition.
        number: u32,
    },
    /// The record of a live job, i.e. one that has not ended.
    Job(JobId),
    /// A page of a job's progress.
    ProgressPage {
        /// The job.
        job: JobId,
        /// The page's number, from 0.
        page: u32,
    },
}

impl Key {
    /// Parses a key. Returns `None` if the key lies outside [`ROOT`] or is of a kind that this
    /// version does not know.
    pub fn parse(key: &str) -> Option<Key> {
        match key {
            TERM => return Some(Key::Term),
            LEADER => return Some(Key::Leader),
            TYPES => return Some(Key::MachineTypes),
            FORMAT => return Some(Key::Format),
            ZONES => return Some(Key::Zones),
            _ => {}
        }
        let segments: Vec<&str> = key.strip_prefix(ROOT)?.split('/').collect();
        match *segments.as_slice() {
            [MEMBERS, label] => Some(Key::Member(label.into())),
            [TEAM_USAGE, label] => Some(Key::TeamUsage(label.into())),
            [SCALE_OUTS, name] => Some(Key::ScaleOut(name.into())),
            [PARTITIONS, partition, OWNER] => {
                Some(Key::PartitionOwner(PartitionId(partition.parse().ok()?)))
            }
            [PARTITIONS, partition, SHARDS, number] => Some(Key::Shard {
                partition: PartitionId(partition.parse().ok()?),
                number: number.parse().ok()?,
            }),
            [JOBS, id] => Some(Key::Job(id.into())),
            [PROGRESS, id, page] => Some(Key::ProgressPage {
                job: id.into(),
                page: page.parse().ok()?,
            }),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
