//! The stand-in of a worker: a machine's agent whose images are there at once and whose
//! tasks run until the test ends them. It owns the attempts on its machine, and must never
//! execute a command whose fencing token or agent epoch is outdated.

use crate::clock::Micros;
use crate::ids::{FencingToken, MachineId};
use crate::workers::{DirectCommand, Heartbeat, WorkerCommand};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Why a task's process exited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExitCause {
    /// It succeeded.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// It failed.
    Error,
}

/// The state of an attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptState {
    /// Its process runs.
    Running,
    /// Its process exited, and it is not reaped yet.
    Exited(ExitCause),
}

/// An attempt at a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskAttempt {
    /// The attempt's number.
    pub attempt: u64,
    /// Its state.
    pub state: AttemptState,
}

impl TaskAttempt {
    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.state == AttemptState::Running
    }

    /// Ends its process.
    pub fn exit(&mut self, cause: ExitCause) {
        self.state = AttemptState::Exited(cause);
    }

    /// Its entry of a heartbeat on the wire.
    fn wire(&self, task: &str) -> Value {
        let (state, cause) = match self.state {
            AttemptState::Running => ("running", None),
            AttemptState::Exited(ExitCause::Done) => ("exited", Some("done")),
            AttemptState::Exited(ExitCause::Stopped) => ("exited", Some("stopped")),
            AttemptState::Exited(ExitCause::Error) => ("exited", Some("error")),
        };
        json!({"hand": task, "try": self.attempt, "standing": state, "cause": cause})
    }
}

/// A launch that a worker executed.
pub struct Launch {
    /// The task's identifier.
    pub task: String,
    /// The attempt's number.
    pub attempt: u64,
}

/// A worker of the simulation.
pub struct SimulatedWorker {
    /// Its machine.
    pub id: MachineId,
    /// The type of its machine.
    pub machine_type: &'static str,
    /// The zone of its machine.
    pub zone: &'static str,
    /// It grows whenever its lease expires.
    pub agent_epoch: u64,
    /// The number of its last heartbeat.
    pub heartbeat_sequence: u64,
    /// The highest token that it has accepted.
    pub fencing_token: FencingToken,
    /// The token that its last heartbeat carried.
    pub last_sent_token: FencingToken,
    /// Its attempts, by task.
    pub tasks: BTreeMap<String, TaskAttempt>,
    /// The controller that answered it last.
    pub controller: Option<usize>,
    /// It is cut off in both directions.
    pub is_isolated: bool,
    /// Its heartbeats arrive, but answers and direct commands don't reach it.
    pub is_unreachable: bool,
    /// Its heartbeats don't arrive, but direct commands reach it.
    pub loses_heartbeats: bool,
    /// Its process is paused: it does nothing, and what is sent to it is queued.
    pub is_paused: bool,
    queued_commands: Vec<DirectCommand>,
    /// Launches that the invariants have not checked yet.
    pub launches: Vec<Launch>,
    /// When each running task started.
    pub started_at: BTreeMap<String, Micros>,
    /// When its lease was renewed last.
    pub last_answer_at: Micros,
    /// When it sends its next heartbeat.
    pub next_heartbeat_at: Micros,
}

impl SimulatedWorker {
    /// The machine of a number, without tasks.
    pub fn new(number: usize, machine_type: &'static str, zone: &'static str, now: Micros) -> Self {
        SimulatedWorker {
            id: MachineId::from(format!("m-{number:06}")),
            machine_type,
            zone,
            agent_epoch: 1,
            heartbeat_sequence: 0,
            fencing_token: FencingToken(0),
            last_sent_token: FencingToken(0),
            tasks: BTreeMap::new(),
            controller: None,
            is_isolated: false,
            is_unreachable: false,
            loses_heartbeats: false,
            is_paused: false,
            queued_commands: vec![],
            launches: vec![],
            started_at: BTreeMap::new(),
            last_answer_at: now,
            next_heartbeat_at: now,
        }
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        let address = format!("{}:1", self.id);
        serde_json::from_value(self.heartbeat_body(&address)).expect("a heartbeat")
    }

    /// The next heartbeat as it is on the wire.
    pub fn heartbeat_body(&mut self, address: &str) -> Value {
        self.heartbeat_sequence += 1;
        self.last_sent_token = self.fencing_token;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(task, attempt)| attempt.wire(task))
            .collect();
        json!({"rig": self.id, "addr": address, "build": self.machine_type, "yard": self.zone,
            "loaners": false, "shift": self.agent_epoch, "tally": self.heartbeat_sequence,
            "baton": self.fencing_token, "hands": tasks})
    }

    /// Executes commands; a launch of a task that it has already changes nothing.
    pub fn execute(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Launch { task, attempt } => {
                    if let Entry::Vacant(vacant) = self.tasks.entry(task.clone()) {
                        vacant.insert(TaskAttempt {
                            attempt: attempt.0,
                            state: AttemptState::Running,
                        });
                        self.launches.push(Launch {
                            task: task.clone(),
                            attempt: attempt.0,
                        });
                    }
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    if let Some(running) = self
                        .tasks
                        .get_mut(task)
                        .filter(|running| running.attempt == attempt.0 && running.is_running())
                    {
                        running.exit(ExitCause::Stopped);
                    }
                }
                WorkerCommand::Reap { task, .. } => {
                    self.tasks.remove(task);
                }
            }
        }
    }

    /// Executes a direct command unless it is fenced, and answers with a heartbeat.
    pub fn handle_command(&mut self, command: &DirectCommand) -> Heartbeat {
        if command.fencing_token >= self.fencing_token && command.agent_epoch == self.agent_epoch {
            self.fencing_token = command.fencing_token;
            self.execute(&command.commands);
        }
        self.heartbeat()
    }

    /// Keeps a direct command until the process continues.
    pub fn queue_command(&mut self, command: DirectCommand) {
        self.queued_commands.push(command);
    }

    /// Handles what was queued during a pause, if it still matches.
    pub fn handle_queued_commands(&mut self) {
        for command in std::mem::take(&mut self.queued_commands) {
            self.handle_command(&command);
        }
    }

    /// Ends all tasks once its lease has expired.
    pub fn expire_lease(&mut self, now: Micros, lease: Micros) {
        if now.since(self.last_answer_at) > lease {
            self.agent_epoch += 1;
            self.tasks.clear();
            self.last_answer_at = now;
        }
    }

    /// The process restarts: it has lost all its state.
    pub fn restart(&mut self, now: Micros) {
        self.agent_epoch = 1;
        self.heartbeat_sequence = 0;
        self.fencing_token = FencingToken(0);
        self.last_answer_at = now;
        self.next_heartbeat_at = now;
        self.tasks.clear();
    }

    /// Its running tasks whose identifier begins with a prefix.
    pub fn running_tasks<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        self.tasks
            .iter()
            .filter(|(_, attempt)| attempt.is_running())
            .map(|(task, _)| task.as_str())
            .filter(move |task| task.starts_with(prefix))
    }

    /// Whether it runs a task.
    pub fn is_running(&self, task: &str) -> bool {
        self.tasks.get(task).is_some_and(TaskAttempt::is_running)
    }
}
