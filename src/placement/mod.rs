//! Placement: decides which waiting tasks start on which machines, which running attempts are
//! preempted for waiting jobs, and how much capacity is missing.
//!
//! Each placement goes to the team with the lowest heaviness (see [`crate::fairness`]). Tasks
//! with the same requirements are decided alike: if one of them fits on no machine, the others
//! are skipped.
//!
//! The cost of a pass depends on the number of waiting jobs and of machines with free capacity
//! for them, not on the size of the fleet:
//!
//! - Heaviness is computed from usage that is kept up to date between passes.
//! - A request is compared with the largest free capacity of each kind of machine first, and
//!   with the single machines of a kind only if it fits there.
//! - Capacity that becomes free on one machine is refilled by a pass over that machine alone.

mod candidates;
mod capacity_requests;
mod constrained;
mod eligibility;
mod hold_rule;
mod pass;
mod preemption;
mod queue;
mod recovery;
mod snapshot;
mod zone_constraints;

pub use candidates::CandidateMachines;
pub use capacity_requests::{CapacityRequest, PendingMachines, capacity_requests};
pub use constrained::ConstrainedDemand;
pub use eligibility::{accepts_tasks, is_launchable, is_starved};
pub use pass::{PassLimits, Placement, PlacementPass, run_pass};
pub use preemption::{MachinePreemption, PreemptionPlan, Victim, plan_preemption};
pub use queue::{QueuedJob, Queues, build_queues};
pub use recovery::{FailoverRecovery, UnconfirmedMachineKind};
pub use snapshot::SchedulingSnapshot;
