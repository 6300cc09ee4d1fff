//! Partitions of machines: the stored records of the leader, the members, the partition owners
//! and the fencing terms, and the leases that limit how long a controller may act.
//!
//! This module owns the records, the splitting of a partition's machines into shards, the format
//! level, and the client side of the leases. It must never decide which controller leads or owns
//! a partition (see `leader`), and it must never act for a partition (see `partition_owner`).

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
