//! Which waiting task goes where: lightest team first, like tasks as a class.
//!
//! What a pass costs is bounded by what waits and by the machines that have room
//! for it, not by the size of the fleet: heaviness is computed from kept usage, a class
//! is compared with the most room of each kind of machine before any of them is
//! compared, and room that gets free on one machine is refilled alone.

mod candidates;
mod capacity_requests;
mod constrained;
mod eligibility;
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
pub use recovery::{FailoverRecovery, SilentMachines};
pub use snapshot::SchedulingSnapshot;
