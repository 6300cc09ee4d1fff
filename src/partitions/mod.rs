//! Partitions of machines: the stored records of the leader, the partition owners and their
//! fencing terms, and the leases that bound how long a controller may act.
//!
//! Owns the records, the splitting of a partition's machines into shards, the format level,
//! and the client side of the leases. It must never decide who leads or who owns a
//! partition (that is `leader`), nor act for one (that is `partition_owner`).

mod format_level;
pub mod lease;
pub mod membership;
mod records;
mod request_pacing;
mod shards;

pub use format_level::FormatLevel;
pub use records::{
    FormatRecord, LeaderRecord, MachineRecord, MemberRecord, PartitionOwnerRecord, ReleaseReason,
    TermRecord,
};
pub use shards::{ShardRecord, write_parts};
