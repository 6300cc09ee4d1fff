//! Eligibility checks: which machines accept tasks, which jobs may start tasks, and which jobs
//! are starved.

use super::FailoverRecovery;
use crate::clock::Micros;
use crate::jobs::Job;
use crate::workers::Machine;

/// Whether new tasks may be sent to a machine now.
pub fn accepts_tasks(machine: &Machine, now: Micros, heartbeat_timeout: Micros) -> bool {
    machine.used
        && machine.is_schedulable()
        && machine.is_active()
        && !machine.load.unknown
        && machine.preempted_at().is_none()
        && machine.unsent_commands() == 0
        // Excludes machines whose heartbeats reach no controller. Such a machine still receives
        // direct commands, but its lease is not renewed: each time the lease expires, its agent
        // epoch ends and its tasks are stopped.
        && machine
            .last_heartbeat_at()
            .is_some_and(|at| now.since(at) < heartbeat_timeout)
        && !machine.is_unreachable()
}

/// Whether tasks of a job may be launched now. `recovery` is the failover that is still
/// incomplete; `None`: there is none.
pub fn is_launchable(job: &Job, now: Micros, recovery: Option<&FailoverRecovery>) -> bool {
    // Prevents a task from running on two machines: tasks of a job that an earlier owner may
    // have started can still run on machines that have sent no heartbeat since the failover.
    let may_run_already = recovery.is_some_and(|recovery| recovery.may_have_attempt_of(job));
    !may_run_already && job.wants_machines() && now >= job.not_before()
}

/// Time without a start after which a job that has not begun is starved. A starved job goes to
/// the head of its team's queue, whatever its priority and even if its deadline has passed, so
/// that free capacity is held for it if it fits on no machine.
const MAX_WAIT_FOR_FIRST_START: Micros = Micros::from_millis(120_000);
/// Time since its last start after which a job that has begun is starved.
const MAX_WAIT_FOR_NEXT_START: Micros = Micros::from_millis(200_000);

/// Whether a job has waited so long for a start that it goes before all other jobs of its team.
pub fn is_starved(job: &Job, wall_clock: Micros) -> bool {
    let has_begun = job.last_start_at > job.eligible_since()
        || !job.done().is_empty()
        || !job.active().is_empty();
    let max_wait = if has_begun {
        MAX_WAIT_FOR_NEXT_START
    } else {
        MAX_WAIT_FOR_FIRST_START
    };
    wall_clock.since(job.last_start_at) > max_wait
}
