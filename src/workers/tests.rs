//! Heartbeats and machines for the tests of this module and of the modules that use it.

use super::{Attempt, AttemptKey, AttemptPhase, Heartbeat, Machine, MachineSpec, WorkerCommand};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{AttemptId, FencingToken, TaskId, Term};
use crate::jobs::tests::job_desc;
use std::rc::Rc;

/// Creates a heartbeat. Each item of `tasks` is a task, its attempt, its phase and its exit cause;
/// an empty cause stands for none.
pub fn heartbeat(
    machine: &str,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    tasks: &[(&str, u64, &str, &str)],
) -> Heartbeat {
    let tasks: Vec<_> = tasks
        .iter()
        .map(|(task, attempt, phase, cause)| {
            serde_json::json!({"hand": task, "try": attempt, "standing": phase,
                "cause": if cause.is_empty() { serde_json::Value::Null } else { (*cause).into() }})
        })
        .collect();
    serde_json::from_value(serde_json::json!({
        "rig": machine, "addr": "10.1.0.1:9000", "build": "big", "yard": "x", "loaners": false,
        "shift": agent_epoch, "tally": sequence, "baton": token, "warningS": null, "hands": tasks
    }))
    .expect("well formed")
}

/// Creates a machine with 16 cores and 64 GB of memory whose owner has term 3.
pub fn machine() -> Machine {
    let spec = MachineSpec {
        machine_type: "big".into(),
        zone: "x".into(),
        capacity: Resources::new(16.0, 0.0, 64.0),
        ..MachineSpec::default()
    };
    Machine::new(Micros(0), Term(3), spec)
}

/// Adds an attempt of a task to a machine, to be launched.
pub fn launch(machine: &mut Machine, task: &str, attempt: u64) -> AttemptKey {
    let key = AttemptKey {
        task: TaskId::parse(task).expect("a task"),
        attempt: AttemptId(attempt),
    };
    let job_desc = Rc::new(job_desc("j-1", 4));
    let attempt = Attempt::new(AttemptPhase::Launching, Micros(0), Some((0, &job_desc)));
    machine.attempts.insert(key.clone(), attempt);
    key
}

/// Returns the number of launches in the next response.
pub fn launch_count(machine: &mut Machine) -> usize {
    machine
        .response_commands()
        .iter()
        .filter(|command| matches!(command, WorkerCommand::Launch { .. }))
        .count()
}
