//! Tests of the reconciliation of a machine with its worker's heartbeats.

use crate::clock::Micros;
use crate::ids::{FencingToken, Term};
use crate::workers::tests::{heartbeat, launch, launch_count, machine};
use crate::workers::{AttemptEvent, Heartbeat};

/// Guards against a task that runs twice: the launch of an abandoned attempt may still reach the
/// worker until the worker has seen the raised fencing token.
#[test]
fn an_abandoned_launch_is_lost_only_once_the_worker_has_seen_its_fencing_token() {
    let mut machine = machine();
    let key = launch(&mut machine, "j-1/0", 7);
    let sent_token = machine.fencing_token();
    machine.stop(0.0, |_| true);
    assert_eq!(launch_count(&mut machine), 0);
    assert!(
        machine
            .reconcile(Micros(1), &heartbeat("m", 1, 1, sent_token, &[]))
            .is_empty()
    );
    let events = machine.reconcile(
        Micros(2),
        &heartbeat("m", 1, 2, machine.fencing_token(), &[]),
    );
    assert_eq!(events, vec![AttemptEvent::Lost(key)]);
}

/// Guards against attempts that are kept after the worker's lease expired and the worker stopped
/// them, and against a delayed heartbeat of the old epoch that would show them again.
#[test]
fn a_new_agent_epoch_ends_all_attempts_of_the_old_one() {
    let mut machine = machine();
    machine.reconcile(Micros(0), &heartbeat("m", 1, 1, FencingToken(0), &[]));
    let key = launch(&mut machine, "j-1/0", 7);
    let events = machine.reconcile(Micros(1), &heartbeat("m", 2, 9, FencingToken(0), &[]));
    assert_eq!(events, vec![AttemptEvent::Lost(key)]);
    assert!(
        !machine
            .order(&heartbeat("m", 1, 50, FencingToken(0), &[]))
            .is_newer(),
        "a late heartbeat of the old epoch"
    );
}

/// Guards against commands to a machine on which attempts of an earlier owner may still start.
#[test]
fn an_unconfirmed_machine_gets_no_commands_until_it_shows_the_owners_token() {
    let mut machine = machine();
    machine.set_unconfirmed(true);
    launch(&mut machine, "j-1/0", 7);
    assert!(!machine.shows_term(&heartbeat("m", 4, 1, FencingToken::of(Term(2), 5), &[])));
    assert!(machine.response_commands().is_empty());
    let accepted = heartbeat("m", 4, 2, FencingToken::of(Term(3), 0), &[]);
    assert!(machine.shows_term(&accepted));
    machine.reconcile(Micros(2), &accepted);
    assert!(!machine.is_unconfirmed());
}

/// Guards against a task that waits for ever: an attempt that a heartbeat has shown is gone as soon
/// as a newer one does not show it. Nothing can start it again, because its launch is in no direct
/// command and is not sent again.
#[test]
fn an_attempt_that_vanished_is_lost_and_not_launched_again() {
    let mut machine = machine();
    let key = launch(&mut machine, "j-1/0", 7);
    machine.record_direct_command_sent(false, Micros::ZERO);
    assert_eq!(machine.direct_commands(Micros(0)).len(), 1, "a wake-up");
    assert_eq!(launch_count(&mut machine), 1);
    let token = machine.fencing_token();
    let running = heartbeat("m", 1, 1, token, &[("j-1/0", 7, "running", "")]);
    machine.record_direct_command_reply(&running);
    machine.reconcile(Micros(1), &running);
    assert_eq!(launch_count(&mut machine), 0);
    let events = machine.reconcile(Micros(2), &heartbeat("m", 1, 2, token, &[]));
    assert_eq!(events, vec![AttemptEvent::Lost(key)]);
    assert_eq!(launch_count(&mut machine), 0);
}

/// Guards against a malformed heartbeat that stops the controller or creates an attempt.
#[test]
fn malformed_heartbeats_are_rejected_or_change_nothing() {
    assert!(serde_json::from_str::<Heartbeat>(r#"{"rig":"m"}"#).is_err());
    let mut machine = machine();
    let events = machine.reconcile(
        Micros(1),
        &heartbeat(
            "m",
            1,
            1,
            FencingToken(0),
            &[("nonsense", 1, "running", "")],
        ),
    );
    assert!(events.is_empty() && machine.attempts.is_empty());
}
