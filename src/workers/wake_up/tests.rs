//! Tests of wake-ups.

use super::HEARTBEAT_WAIT;
use crate::clock::Micros;
use crate::workers::tests::{heartbeat, launch, launch_count, machine};
use crate::workers::{Heartbeat, Machine, WorkerCommand};

/// Sends the wake-up that is due at `now`, and returns the heartbeat of a worker that rejected it.
fn send_wake_up(machine: &mut Machine, now: Micros, sequence: u64) -> Option<Heartbeat> {
    let WorkerCommand::Launch { task, attempt } = machine.take_wake_up(now)? else {
        panic!("a wake-up is a launch");
    };
    let rejected = [(task.as_str(), attempt.0, "exited", "unknown")];
    let token = machine.fencing_token();
    Some(heartbeat("m", 1, sequence, token, &rejected))
}

/// Guards against a launch that waits for a heartbeat longer than needed because its wake-up, or the
/// heartbeat after it, was lost, and against one wake-up after another.
#[test]
fn a_wake_up_is_repeated_only_if_no_heartbeat_follows_it() {
    let mut machine = machine();
    assert_eq!(machine.take_wake_up(Micros(1)), None, "nothing to launch");
    launch(&mut machine, "j-1/0", 7);
    assert!(machine.needs_direct_command(Micros(1)));
    let reply = send_wake_up(&mut machine, Micros(1), 1).expect("a launch waits");
    machine.record_direct_command_reply(&reply);
    assert!(!machine.needs_direct_command(Micros(2)));
    assert_eq!(machine.take_wake_up(Micros(2)), None);
    let later = Micros(1) + HEARTBEAT_WAIT;
    assert!(machine.needs_direct_command(later));
    let again = send_wake_up(&mut machine, later, 2).expect("no heartbeat followed");
    assert_ne!(
        again.tasks, reply.tasks,
        "a worker ignores the launch of an attempt that it shows"
    );
    machine.record_heartbeat(later);
    assert_eq!(launch_count(&mut machine), 1);
    assert!(!machine.has_unsent_launch());
    assert_eq!(machine.take_wake_up(later + HEARTBEAT_WAIT), None);
}

/// Guards against a launch that waits because the worker refused the direct command, which named
/// another agent epoch.
#[test]
fn a_refused_wake_up_is_repeated_at_once() {
    let mut machine = machine();
    launch(&mut machine, "j-1/0", 7);
    assert!(send_wake_up(&mut machine, Micros(1), 1).is_some());
    let refused = heartbeat("m", 2, 1, machine.fencing_token(), &[]);
    machine.record_direct_command_reply(&refused);
    assert!(send_wake_up(&mut machine, Micros(2), 2).is_some());
}

/// Guards against rejected attempts that pile up on a worker, and against taking them for attempts
/// of jobs: a copy of a wake-up makes a restarted worker show the same attempt again, so it does
/// not prove that the worker has not restarted.
#[test]
fn rejected_attempts_are_reaped_and_prove_nothing() {
    let mut machine = machine();
    launch(&mut machine, "j-1/0", 7);
    let mut shown = send_wake_up(&mut machine, Micros(1), 1).expect("a launch waits");
    assert_eq!(machine.reconcile(Micros(2), &shown), []);
    assert_eq!(machine.attempts.len(), 1);
    let commands = machine.response_commands();
    assert!(
        matches!(
            commands[..],
            [WorkerCommand::Reap { .. }, WorkerCommand::Launch { .. }]
        ),
        "{commands:?}"
    );
    shown.heartbeat_sequence = 2;
    machine.reconcile(Micros(3), &shown);
    assert_eq!(machine.lease_started_at(), Micros(3));
    let token = machine.fencing_token();
    machine.reconcile(Micros(4), &heartbeat("m", 1, 3, token, &[]));
    assert_eq!(launch_count(&mut machine), 1);
    assert_eq!(machine.response_commands().len(), 1);
}
