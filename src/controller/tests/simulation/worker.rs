//! A simulated worker: the agent on a machine. Images need no download time, and tasks run
//! until the simulation ends them.
//!
//! A worker owns the attempts on its machine. It never executes a direct command whose fencing
//! token or agent epoch is outdated.

use crate::clock::Micros;
use crate::ids::{FencingToken, MachineId, TaskId};
use crate::jobs::MAX_TASKS;
use crate::workers::{DirectCommand, Heartbeat, WorkerCommand};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Time from a change of a worker's tasks until its heartbeat arrives.
const CHANGE_HEARTBEAT_DELAY: Micros = Micros::from_millis(100);
/// Shortest time between two heartbeats that a worker sends on its own.
const MIN_HEARTBEAT_INTERVAL: Micros = Micros::from_millis(500);

/// Why a task's process exited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExitCause {
    /// The task succeeded.
    Done,
    /// A command stopped the task.
    Stopped,
    /// The task failed.
    Error,
    /// The worker rejected the launch: the job has no such task.
    Unknown,
}

/// The state of an attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptState {
    /// The task's process is running.
    Running,
    /// The task's process has exited, and the attempt has not been reaped.
    Exited(ExitCause),
}

/// An attempt to run a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskAttempt {
    /// Number of the attempt.
    pub attempt: u64,
    /// State of the attempt.
    pub state: AttemptState,
}

impl TaskAttempt {
    /// Returns whether the task's process is running.
    pub fn is_running(&self) -> bool {
        self.state == AttemptState::Running
    }

    /// Makes the task's process exit.
    pub fn exit(&mut self, cause: ExitCause) {
        self.state = AttemptState::Exited(cause);
    }

    /// Returns the attempt's entry in a heartbeat, in the wire format.
    fn to_wire(&self, task: &str) -> Value {
        let (state, cause) = match self.state {
            AttemptState::Running => ("running", None),
            AttemptState::Exited(ExitCause::Done) => ("exited", Some("done")),
            AttemptState::Exited(ExitCause::Stopped) => ("exited", Some("stopped")),
            AttemptState::Exited(ExitCause::Error) => ("exited", Some("error")),
            AttemptState::Exited(ExitCause::Unknown) => ("exited", Some("unknown")),
        };
        json!({"hand": task, "try": self.attempt, "standing": state, "cause": cause})
    }
}

/// A launch that a worker executed.
pub struct Launch {
    /// Identifier of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// A worker of the simulation.
pub struct SimulatedWorker {
    /// Identifier of the worker's machine.
    pub id: MachineId,
    /// Type of the worker's machine.
    pub machine_type: &'static str,
    /// Zone of the worker's machine.
    pub zone: &'static str,
    /// Epoch of the agent, which increases each time the worker's lease expires.
    pub agent_epoch: u64,
    /// Sequence number of the worker's last heartbeat.
    pub heartbeat_sequence: u64,
    /// Highest fencing token that the worker has accepted.
    pub fencing_token: FencingToken,
    /// Fencing token in the worker's last heartbeat.
    pub last_sent_token: FencingToken,
    /// Attempts on the machine, by task.
    pub tasks: BTreeMap<String, TaskAttempt>,
    /// Controller that accepted the worker's last heartbeat, which receives the next one first.
    pub controller: Option<usize>,
    /// Whether the worker is isolated: no message from it or to it arrives.
    pub is_isolated: bool,
    /// Whether answers and direct commands to the worker are lost, while its heartbeats arrive.
    pub is_unreachable: bool,
    /// Whether the worker's heartbeats are lost, while direct commands reach it.
    pub loses_heartbeats: bool,
    /// Whether the worker executes direct commands but its answers to them are lost.
    pub loses_command_answers: bool,
    /// Whether the worker's process is paused: it does nothing, and direct commands are queued.
    pub is_paused: bool,
    queued_commands: Vec<DirectCommand>,
    /// Launches that the invariant checks have not seen.
    pub launches: Vec<Launch>,
    /// Start time of each running task.
    pub started_at: BTreeMap<String, Micros>,
    /// Time at which the worker's lease was last renewed.
    pub last_answer_at: Micros,
    /// Time at which the worker sent its last heartbeat, apart from answers to direct commands.
    pub last_heartbeat_at: Micros,
    /// Time at which the worker sends its next heartbeat.
    pub next_heartbeat_at: Micros,
}

impl SimulatedWorker {
    /// Creates a worker without tasks on the machine with the given number.
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
            loses_command_answers: false,
            is_paused: false,
            queued_commands: vec![],
            launches: vec![],
            started_at: BTreeMap::new(),
            last_answer_at: now,
            last_heartbeat_at: Micros::ZERO,
            next_heartbeat_at: now,
        }
    }

    /// Returns the next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        let address = format!("{}:1", self.id);
        serde_json::from_value(self.heartbeat_body(&address)).expect("a heartbeat")
    }

    /// Returns the next heartbeat in the wire format.
    pub fn heartbeat_body(&mut self, address: &str) -> Value {
        self.heartbeat_sequence += 1;
        self.last_sent_token = self.fencing_token;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(task, attempt)| attempt.to_wire(task))
            .collect();
        json!({"rig": self.id, "addr": address, "build": self.machine_type, "yard": self.zone,
            "loaners": false, "shift": self.agent_epoch, "tally": self.heartbeat_sequence,
            "baton": self.fencing_token, "hands": tasks})
    }

    /// Executes commands in order.
    pub fn execute(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Launch { task, attempt } => self.launch(task, attempt.0),
                WorkerCommand::Stop { task, attempt, .. } => self.stop(task, attempt.0),
                WorkerCommand::Reap { task, attempt } => self.reap(task, attempt.0),
            }
        }
    }

    /// Starts an attempt. A launch of a task that already has an attempt here has no effect. A
    /// launch of a task that no job can have is rejected.
    fn launch(&mut self, task: &str, attempt: u64) {
        let Entry::Vacant(vacant) = self.tasks.entry(task.into()) else {
            return;
        };
        let can_exist = |task: &TaskId| task.job.is_well_formed() && task.index < MAX_TASKS;
        if !TaskId::parse(task).is_some_and(|task| can_exist(&task)) {
            vacant.insert(TaskAttempt {
                attempt,
                state: AttemptState::Exited(ExitCause::Unknown),
            });
            return;
        }
        vacant.insert(TaskAttempt {
            attempt,
            state: AttemptState::Running,
        });
        self.launches.push(Launch {
            task: task.into(),
            attempt,
        });
    }

    /// Stops a running attempt.
    fn stop(&mut self, task: &str, attempt: u64) {
        let running = self
            .tasks
            .get_mut(task)
            .filter(|running| running.attempt == attempt && running.is_running());
        if let Some(running) = running {
            running.exit(ExitCause::Stopped);
        }
    }

    /// Forgets an attempt that has exited. Other attempts of the task stay.
    fn reap(&mut self, task: &str, attempt: u64) {
        let is_exited = |known: &TaskAttempt| known.attempt == attempt && !known.is_running();
        if self.tasks.get(task).is_some_and(is_exited) {
            self.tasks.remove(task);
        }
    }

    /// Executes a direct command unless its fencing token or agent epoch is outdated. Answers with
    /// a heartbeat in either case. If the command changes the tasks, the worker sends a heartbeat of
    /// its own as soon as it may.
    pub fn handle_command(&mut self, now: Micros, command: &DirectCommand) -> Heartbeat {
        if command.fencing_token >= self.fencing_token && command.agent_epoch == self.agent_epoch {
            self.fencing_token = command.fencing_token;
            let before = self.tasks.clone();
            self.execute(&command.commands);
            if self.tasks != before {
                let earliest = (now + CHANGE_HEARTBEAT_DELAY)
                    .max(self.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL);
                self.next_heartbeat_at = self.next_heartbeat_at.min(earliest);
            }
        }
        self.heartbeat()
    }

    /// Queues a direct command until the process resumes.
    pub fn queue_command(&mut self, command: DirectCommand) {
        self.queued_commands.push(command);
    }

    /// Handles the direct commands that were queued during a pause.
    pub fn handle_queued_commands(&mut self, now: Micros) {
        for command in std::mem::take(&mut self.queued_commands) {
            self.handle_command(now, &command);
        }
    }

    /// Ends all tasks and begins a new agent epoch if the worker's lease has expired.
    pub fn expire_lease(&mut self, now: Micros, lease: Micros) {
        if now.since(self.last_answer_at) > lease {
            self.agent_epoch += 1;
            self.tasks.clear();
            self.last_answer_at = now;
        }
    }

    /// Restarts the worker's process, which loses all its state.
    pub fn restart(&mut self, now: Micros) {
        self.agent_epoch = 1;
        self.heartbeat_sequence = 0;
        self.fencing_token = FencingToken(0);
        self.last_answer_at = now;
        self.next_heartbeat_at = now;
        self.tasks.clear();
    }

    /// Iterates over the running tasks whose identifier begins with a prefix.
    pub fn running_tasks<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        self.tasks
            .iter()
            .filter(|(_, attempt)| attempt.is_running())
            .map(|(task, _)| task.as_str())
            .filter(move |task| task.starts_with(prefix))
    }

    /// Returns whether the worker is running a task.
    pub fn is_running(&self, task: &str) -> bool {
        self.tasks.get(task).is_some_and(TaskAttempt::is_running)
    }
}
