//! Tests of the commands that are sent to a machine's worker.

use crate::clock::Micros;
use crate::ids::FencingToken;
use crate::workers::tests::{heartbeat, launch, launch_count, machine};
use crate::workers::{CommandRoute, Machine, WorkerCommand};

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

/// Launches an attempt on a route, lets it fail, and returns the token of the launch and the machine,
/// whose next commands reap the attempt.
fn machine_with_failed_attempt(route: CommandRoute) -> (FencingToken, Machine) {
    let mut machine = machine();
    let key = launch(&mut machine, "j-1/0", 7);
    if route == CommandRoute::Direct {
        machine.record_direct_command_sent(false, Micros::ZERO);
    }
    assert!(machine.commands(route).iter().any(WorkerCommand::is_launch));
    let token = machine.fencing_token();
    if route == CommandRoute::Direct {
        machine.record_direct_command_reply();
    }
    let failed = heartbeat("m", 1, 1, token, &[("j-1/0", 7, "exited", "error")]);
    machine.reconcile(Micros(1), &failed);
    machine.attempts.get_mut(&key).expect("kept").may_be_reaped = true;
    (token, machine)
}

/// Guards against a task that runs twice: the worker forgets a reaped attempt, and starts it again
/// when a copy of the direct command that launched it arrives under the highest token that it has
/// seen.
#[test]
fn a_reap_carries_a_higher_token_than_the_direct_launch() {
    let (launch_token, mut machine) = machine_with_failed_attempt(CommandRoute::Direct);
    assert!(matches!(
        machine.commands(CommandRoute::Response)[..],
        [WorkerCommand::Reap { .. }]
    ));
    let reap_token = machine.fencing_token();
    assert!(reap_token > launch_token);
    machine.commands(CommandRoute::Response);
    assert_eq!(machine.fencing_token(), reap_token, "raised only once");
}

/// Guards against raised tokens that fence nothing: a response takes effect once or never.
#[test]
fn a_reap_keeps_the_token_if_no_direct_command_launched_the_attempt() {
    let (launch_token, mut machine) = machine_with_failed_attempt(CommandRoute::Response);
    assert!(matches!(
        machine.commands(CommandRoute::Response)[..],
        [WorkerCommand::Reap { .. }]
    ));
    assert_eq!(machine.fencing_token(), launch_token);
}
