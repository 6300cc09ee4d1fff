//! Tests of the commands that are sent to a machine's worker.

use crate::clock::Micros;
use crate::ids::{FencingToken, TaskId};
use crate::workers::tests::{heartbeat, launch, launch_count, machine};
use crate::workers::{Machine, WorkerCommand};

/// Guards against a launch that is lost with its response and never sent again, and against the
/// capacity of such an attempt being counted as free.
#[test]
fn a_launch_that_no_heartbeat_shows_is_kept_and_sent_again() {
    let mut machine = machine();
    launch(&mut machine, "j-1/0", 7);
    assert_eq!(launch_count(&mut machine), 1);
    assert!(
        machine
            .reconcile(
                Micros(1),
                &heartbeat("m", 1, 1, machine.fencing_token(), &[])
            )
            .is_empty()
    );
    assert_eq!(launch_count(&mut machine), 1);
    assert_eq!(machine.compute_load().summed.cores, 2.0);
}

/// Returns the direct command that is sent to a machine now.
fn direct_command(machine: &mut Machine) -> Vec<WorkerCommand> {
    machine.record_direct_command_sent(false, Micros::ZERO);
    machine.direct_commands(Micros::ZERO)
}

/// Whether a command launches a task of a job that can be accepted.
fn launches_task_of_a_job(command: &WorkerCommand) -> bool {
    let WorkerCommand::Launch { task, .. } = command else {
        return false;
    };
    TaskId::parse(task).is_none_or(|task| task.job.is_well_formed())
}

/// Guards against a task that runs twice or after its cancellation: a copy of a direct command may
/// arrive after its machine's worker has reaped the attempt or has restarted. The worker then starts
/// every attempt that the copy launches.
#[test]
fn a_direct_command_launches_no_task_of_a_job() {
    let mut machine = machine();
    launch(&mut machine, "j-1/0", 7);
    let commands = direct_command(&mut machine);
    assert!(!commands.is_empty(), "the worker is to send a heartbeat");
    assert!(!commands.iter().any(launches_task_of_a_job), "{commands:?}");
    assert_eq!(launch_count(&mut machine), 1, "the response launches it");
    let commands = direct_command(&mut machine);
    assert!(!commands.iter().any(launches_task_of_a_job), "{commands:?}");
}

/// Guards against direct commands that are taken for lost and arrive late: the token is raised, so
/// that the worker drops them, and nothing in them can start an attempt that has been reaped.
#[test]
fn a_lost_direct_command_is_fenced_and_delays_no_reaping() {
    let mut machine = machine();
    let key = launch(&mut machine, "j-1/0", 7);
    let commands = direct_command(&mut machine);
    assert!(!commands.iter().any(launches_task_of_a_job), "{commands:?}");
    let sent_token = machine.fencing_token();
    machine.record_direct_command_lost();
    assert!(machine.fencing_token() > sent_token);
    machine.reconcile(
        Micros(1),
        &heartbeat("m", 1, 1, sent_token, &[("j-1/0", 7, "exited", "done")]),
    );
    assert!(!machine.has_no_command_in_transit(), "not fenced yet");
    machine.attempts.get_mut(&key).expect("kept").may_be_reaped = true;
    assert!(matches!(
        machine.response_commands()[..],
        [WorkerCommand::Reap { .. }]
    ));
    let raised = machine.fencing_token();
    machine.reconcile(Micros(2), &heartbeat("m", 1, 2, raised, &[]));
    assert!(machine.has_no_command_in_transit());
    assert!(machine.attempts.is_empty());
}

/// Guards against an abandoned attempt that keeps running because its launch reached the worker
/// before the raised fencing token did.
#[test]
fn an_abandoned_launch_that_began_is_stopped() {
    let mut machine = machine();
    launch(&mut machine, "j-1/0", 7);
    machine.stop(0.0, |_| true);
    machine.reconcile(
        Micros(1),
        &heartbeat("m", 1, 1, FencingToken(0), &[("j-1/0", 7, "running", "")]),
    );
    assert!(matches!(
        machine.response_commands()[..],
        [WorkerCommand::Stop { .. }]
    ));
}

/// Guards against raised tokens that fence nothing: a response takes effect once or never.
#[test]
fn a_reap_keeps_the_token() {
    let mut machine = machine();
    let key = launch(&mut machine, "j-1/0", 7);
    assert_eq!(launch_count(&mut machine), 1);
    let token = machine.fencing_token();
    let failed = heartbeat("m", 1, 1, token, &[("j-1/0", 7, "exited", "error")]);
    machine.reconcile(Micros(1), &failed);
    machine.attempts.get_mut(&key).expect("kept").may_be_reaped = true;
    assert!(matches!(
        machine.response_commands()[..],
        [WorkerCommand::Reap { .. }]
    ));
    assert_eq!(machine.fencing_token(), token);
}

/// Guards against a task that waits for a machine whose heartbeats have ended: no message contained
/// its launch, so it may start elsewhere at once. An attempt whose launch was sent must stay.
#[test]
fn only_unsent_launches_are_withdrawn() {
    let mut machine = machine();
    let sent = launch(&mut machine, "j-1/0", 7);
    assert_eq!(launch_count(&mut machine), 1);
    let unsent = launch(&mut machine, "j-1/1", 8);
    assert_eq!(machine.withdraw_unsent_launches(), [unsent]);
    let left: Vec<_> = machine.attempts.keys().collect();
    assert_eq!(left, [&sent]);
}
