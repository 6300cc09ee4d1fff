//! Tests of the commands that are sent to a machine's worker.

use crate::clock::Micros;
use crate::ids::FencingToken;
use crate::workers::tests::{heartbeat, launch, launch_count, machine};
use crate::workers::{CommandRoute, WorkerCommand};

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

/// Guards against a task that runs twice: a worker that has reaped an attempt starts it again when
/// an unanswered direct command with its launch arrives late.
#[test]
fn a_lost_direct_command_delays_reaping_until_it_is_fenced() {
    let mut machine = machine();
    let key = launch(&mut machine, "j-1/0", 7);
    machine.record_direct_command_sent(false, Micros::ZERO);
    let sent_token = machine.fencing_token();
    machine.record_direct_command_lost(Micros::ZERO);
    assert!(machine.fencing_token() > sent_token);
    machine.reconcile(
        Micros(1),
        &heartbeat("m", 1, 1, sent_token, &[("j-1/0", 7, "exited", "done")]),
    );
    machine.attempts.get_mut(&key).expect("kept").may_be_reaped = true;
    assert_eq!(
        machine.commands(CommandRoute::Response),
        vec![],
        "the delayed launch would run the attempt again after a reap"
    );
    machine.reconcile(
        Micros(2),
        &heartbeat(
            "m",
            1,
            2,
            machine.fencing_token(),
            &[("j-1/0", 7, "exited", "done")],
        ),
    );
    assert!(matches!(
        machine.commands(CommandRoute::Response)[..],
        [WorkerCommand::Reap { .. }]
    ));
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
        machine.commands(CommandRoute::Response)[..],
        [WorkerCommand::Stop { .. }]
    ));
}
