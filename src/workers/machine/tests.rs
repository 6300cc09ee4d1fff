//! Tests of the state that an owner keeps of a machine.

use super::MAX_UNACKNOWLEDGED;
use crate::clock::Micros;
use crate::ids::FencingToken;
use crate::workers::tests::{heartbeat, launch, machine};

/// Guards against launching tasks on a machine whose heartbeats arrive but which neither sees the
/// owner's fencing token nor carries out a command, because nothing that is sent reaches it.
#[test]
fn a_machine_that_acknowledges_no_response_is_unreachable_until_it_does() {
    let mut machine = machine();
    let mut unacknowledging = heartbeat("m", 1, 1, FencingToken(0), &[]);
    for number in 1..=MAX_UNACKNOWLEDGED {
        assert!(!machine.is_unreachable());
        unacknowledging.heartbeat_sequence = u64::from(number);
        machine.record_response(Micros(u64::from(number)), &unacknowledging);
    }
    assert!(machine.is_unreachable(), "no heartbeat showed the token");
    machine.reconcile(
        Micros(9),
        &heartbeat("m", 1, 9, machine.fencing_token(), &[]),
    );
    assert!(!machine.is_unreachable());
    launch(&mut machine, "j-1/0", 7);
    for number in 10..=12 {
        machine.reconcile(
            Micros(number),
            &heartbeat("m", 1, number, machine.fencing_token(), &[]),
        );
        assert!(!machine.is_unreachable());
        machine.response_commands();
    }
    assert!(machine.is_unreachable(), "no heartbeat showed the launch");
}

/// Guards against commands that can't be fenced any more, because each token of a term is used once
/// and a machine may be kept for the whole term.
#[test]
fn a_machine_whose_fencing_tokens_run_out_gets_no_more_tasks() {
    let mut machine = machine();
    let first = machine.fencing_token();
    while machine.is_schedulable() {
        machine.raise_token_for_response();
    }
    let last = machine.fencing_token();
    assert!(first < last);
    machine.raise_token_for_response();
    assert!(
        last < machine.fencing_token(),
        "some tokens are left to fence the commands to its last tasks"
    );
}
