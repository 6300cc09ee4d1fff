//! The names of all keys: they are made and parsed here and nowhere else.
//!
//! Keys outlive the code that wrote them, so the path segments keep the words that the
//! first version used (`blocks` for partitions, `holder` for an owner). They must never
//! change.

use crate::ids::{JobId, Label, PartitionId};

/// What every controller watches lies below this; ended jobs lie outside it,
/// so that a watch or a restart never reads all of history.
pub const ROOT: &str = "r/";

/// The last fencing term that was granted.
pub const TERM: &str = "r/term";
/// The leader.
pub const LEADER: &str = "r/leader";
/// The machine types.
pub const TYPES: &str = "r/types";
/// The format level that every controller understands.
pub const FORMAT: &str = "r/format";
/// The states of all zones.
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

/// A controller's membership.
pub fn member(label: &Label) -> String {
    format!("{ROOT}{MEMBERS}/{label}")
}

/// A partition's owner.
pub fn partition_owner(partition: PartitionId) -> String {
    format!("{ROOT}{PARTITIONS}/{partition}/{OWNER}")
}

/// A shard of a partition's machines, which don't fit one value.
pub fn shard(partition: PartitionId, number: u32) -> String {
    format!("{ROOT}{PARTITIONS}/{partition}/{SHARDS}/{number}")
}

/// A job that has not ended.
pub fn job(id: &JobId) -> String {
    format!("{ROOT}{JOBS}/{id}")
}

/// A page of a job's progress.
pub fn progress_page(id: &JobId, page: u32) -> String {
    format!("{ROOT}{PROGRESS}/{id}/{page:04}")
}

/// A job that has ended.
pub fn ended(id: &JobId) -> String {
    format!("{ENDED}/{id}")
}

/// The teams' usage in a controller's partitions.
pub fn team_usage(label: &Label) -> String {
    format!("{ROOT}{TEAM_USAGE}/{label}")
}

/// A scale-out.
pub fn scale_out(name: &str) -> String {
    format!("{ROOT}{SCALE_OUTS}/{name}")
}

/// What a key below [`ROOT`] names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// The last fencing term that was granted.
    Term,
    /// The leader.
    Leader,
    /// The machine types.
    MachineTypes,
    /// The format level that every controller understands.
    Format,
    /// The states of all zones.
    Zones,
    /// A controller's membership.
    Member(Label),
    /// The teams' usage in a controller's partitions.
    TeamUsage(Label),
    /// A scale-out.
    ScaleOut(String),
    /// A partition's owner.
    PartitionOwner(PartitionId),
    /// A shard of a partition's machines.
    Shard {
        /// The partition.
        partition: PartitionId,
        /// The shard's number within the partition.
        number: u32,
    },
    /// A job that has not ended.
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
    /// What a key names; none if it lies outside [`ROOT`] or if this version doesn't know
    /// its kind.
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
