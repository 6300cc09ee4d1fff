//! Tests of the order of heartbeats across restarts of a worker.

use super::HeartbeatOrder;
use crate::clock::Micros;
use crate::ids::FencingToken;
use crate::workers::tests::{heartbeat, launch, machine};

/// Guards against a task that runs twice: a heartbeat from before a restart has a higher position
/// than the restarted worker has reached, but it must not count as newer.
#[test]
fn a_heartbeat_from_before_a_restart_is_not_newer_than_one_from_after_it() {
    let mut machine = machine();
    let old_token = machine.fencing_token();
    machine.reconcile(Micros(1), &heartbeat("m", 1, 20, old_token, &[]));
    let delayed = heartbeat("m", 1, 21, old_token, &[]);
    machine.record_direct_command_sent(false, Micros(2));
    let reply = heartbeat("m", 1, 1, machine.fencing_token(), &[]);
    assert!(machine.has_restarted(&reply));
    machine.record_restart(Micros(3), &reply);
    assert_eq!(machine.order(&delayed), HeartbeatOrder::Ambiguous);
    let confirmed = heartbeat("m", 1, 2, machine.fencing_token(), &[]);
    assert_eq!(machine.order(&confirmed), HeartbeatOrder::Newer);
    machine.reconcile(Micros(4), &confirmed);
    assert_eq!(machine.order(&delayed), HeartbeatOrder::Ambiguous);
}

/// Guards against the same fault if no message shows the restart: the restarted worker has passed
/// the known position before its first message arrives, which is the reply to a direct command.
#[test]
fn a_heartbeat_from_before_an_unnoticed_restart_is_not_newer_than_the_reply() {
    let mut machine = machine();
    let old_token = machine.fencing_token();
    machine.reconcile(Micros(1), &heartbeat("m", 1, 2, old_token, &[]));
    let delayed = heartbeat("m", 1, 9, old_token, &[]);
    machine.record_direct_command_sent(false, Micros(2));
    let reply = heartbeat("m", 1, 5, machine.fencing_token(), &[]);
    assert!(!machine.has_restarted(&reply), "nothing shows the restart");
    assert_eq!(machine.order(&reply), HeartbeatOrder::Newer);
    machine.reconcile(Micros(3), &reply);
    assert_eq!(machine.order(&delayed), HeartbeatOrder::Ambiguous);
}

/// Guards against a response that makes a token known to a restarted worker which a heartbeat from
/// before the restart shows as well.
#[test]
fn each_response_that_makes_a_token_known_has_a_token_of_its_own() {
    let mut machine = machine();
    let before = machine.fencing_token();
    machine.raise_token_for_response();
    let first = machine.fencing_token();
    machine.raise_token_for_response();
    assert!(before < first && first < machine.fencing_token());
}

/// Guards against a restarted worker whose heartbeats do not count until it has counted past the
/// position that it had reached before the restart.
#[test]
fn a_lower_position_with_a_higher_token_is_newer_and_shows_the_restart() {
    let mut machine = machine();
    let token = machine.fencing_token();
    machine.reconcile(Micros(1), &heartbeat("m", 3, 50, token, &[]));
    machine.record_direct_command_sent(false, Micros(2));
    let restarted = heartbeat("m", 1, 4, machine.fencing_token(), &[]);
    assert_eq!(machine.order(&restarted), HeartbeatOrder::NewerAfterRestart);
    assert!(machine.order(&restarted).is_newer());
}

/// Guards against a heartbeat of a restarted worker, or a late copy, that counts without a token.
#[test]
fn a_heartbeat_with_a_lower_token_is_never_newer() {
    let mut machine = machine();
    let token = machine.fencing_token();
    machine.reconcile(Micros(1), &heartbeat("m", 1, 5, token, &[]));
    for (position, expected) in [
        (4, HeartbeatOrder::Stale),
        (5, HeartbeatOrder::Stale),
        (6, HeartbeatOrder::Ambiguous),
    ] {
        let without_token = heartbeat("m", 1, position, FencingToken(0), &[]);
        assert_eq!(machine.order(&without_token), expected);
    }
    let copy = heartbeat("m", 1, 5, token, &[]);
    assert_eq!(machine.order(&copy), HeartbeatOrder::Stale);
}

/// Guards against the same fault on a machine in use, where a direct command has no token of its
/// own: the reply shows none of the attempts from before, so the worker may have restarted.
#[test]
fn a_reply_without_the_attempts_from_before_fences_earlier_heartbeats() {
    let mut machine = machine();
    let token = machine.fencing_token();
    launch(&mut machine, "j-1/0", 7);
    let running = [("j-1/0", 7, "running", "")];
    machine.reconcile(Micros(1), &heartbeat("m", 1, 2, token, &running));
    let delayed = heartbeat("m", 1, 9, token, &running);
    machine.record_direct_command_sent(false, Micros(2));
    assert_eq!(machine.fencing_token(), token);
    let proof = heartbeat("m", 1, 5, token, &running);
    machine.fence_heartbeats_unless_running(&proof);
    assert_eq!(machine.order(&delayed), HeartbeatOrder::Newer);
    let doubtful = heartbeat("m", 1, 5, token, &[]);
    machine.fence_heartbeats_unless_running(&doubtful);
    assert_eq!(machine.order(&delayed), HeartbeatOrder::Ambiguous);
    assert!(machine.fencing_token() > token);
}
