//! The leader's decisions: when a member may campaign for leadership, and the writes that only
//! the leader makes, which are grants of partitions and allocations of fencing terms.
//!
//! The functions here compute compares and mutations from the watch cache; the controller sends
//! them. Every write of the leader must include the compare of [`leadership_compare`]. Without
//! that compare, a former leader could still write.

mod election;
mod grants;
mod terms;

pub use election::{CandidateState, leadership_compare, may_campaign};
pub use grants::{grant_partitions, partition_of};
pub use terms::{TermAllocation, allocate_terms};
