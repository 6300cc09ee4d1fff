//! Which machines accept tasks, and which jobs may start them.

use super::FailoverRecovery;
use crate::clock::Micros;
use crate::jobs::Job;
use crate::workers::Machine;

/// Whether a machine may be sent tasks now.
pub fn accepts_tasks(machine: &Machine, now: Micros, heartbeat_timeout: Micros) -> bool {
    machine.used
        && machine.is_schedulable()
        && machine.is_active()
        && !machine.load.unknown
        && machine.preempted_at().is_none()
        && machine.unsent_commands() == 0
        // Guards against work for a machine whose heartbeats reach no controller: it gets
        // direct commands, but its agent epoch ends with its lease, again and again.
        && machine
            .last_heartbeat_at()
            .is_some_and(|at| now.since(at) < heartbeat_timeout)
        && !machine.is_unreachable()
}

/// Whether a job's tasks may be launched at all now.
pub fn is_launchable(job: &Job, now: Micros, recovery: Option<&FailoverRecovery>) -> bool {
    // Guards against a task on two machines: while some of the partition have sent no
    // heartbeat since the failover, an old job's tasks may run there.
    let may_run_already = recovery.is_some_and(|recovery| recovery.may_hold(job));
    !may_run_already && job.wants_machines() && now >= job.not_before()
}

/// A job that has waited so long to begin goes to the head of its team, whatever its
/// priority and even if its deadline is lost, and holds room.
const MAX_WAIT_TO_BEGIN: Micros = Micros::from_millis(120_000);
/// The same for one that began, and none of whose tasks started since.
const MAX_WAIT_TO_GO_ON: Micros = Micros::from_millis(200_000);

/// Whether a job has waited so long that it goes before all others of its team.
pub fn is_starved(job: &Job, wall_clock: Micros) -> bool {
    let has_begun = job.last_start_at > job.eligible_since()
        || !job.done().is_empty()
        || !job.active().is_empty();
    let max_wait = if has_begun {
        MAX_WAIT_TO_GO_ON
    } else {
        MAX_WAIT_TO_BEGIN
    };
    wall_clock.since(job.last_start_at) > max_wait
}
