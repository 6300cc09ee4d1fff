//! The leader: who may campaign for leadership, and what only the leader writes: grants of
//! partitions and the allocation of fencing terms.
//!
//! Everything here is computed from the watch cache and returned as a compare-and-swap; the
//! controller sends it. A write of the leader must never go out without the compare of
//! [`leadership_compare`]: without it, a former leader could still write.

mod election;
mod grants;
mod terms;

pub use election::{CandidateState, leadership_compare, may_campaign};
pub use grants::{grant_partitions, partition_of};
pub use terms::{TermAllocation, allocate_terms};
