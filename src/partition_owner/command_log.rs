//! Log lines that show which commands a worker was sent, under which fencing token and agent epoch,
//! and on which route.

use crate::ids::{FencingToken, MachineId, PartitionId};
use crate::workers::WorkerCommand;
use tracing::Level;

/// The route on which commands are sent to a worker.
#[derive(Debug, Clone, Copy)]
pub(super) enum CommandRoute {
    /// The response to a heartbeat.
    Response,
    /// A direct command.
    Direct,
}

/// The message that carries commands to a worker.
pub(super) struct CommandMessage<'a> {
    /// The partition of the worker's machine.
    pub(super) partition: PartitionId,
    /// The worker's machine.
    pub(super) machine: &'a MachineId,
    /// The route on which the commands are sent.
    pub(super) route: CommandRoute,
    /// The fencing token under which the commands are sent.
    pub(super) token: FencingToken,
    /// The agent epoch of the worker, as far as it is known.
    pub(super) agent_epoch: u64,
}

impl CommandMessage<'_> {
    /// Logs each of the commands at level `debug`.
    pub(super) fn log(&self, commands: &[WorkerCommand]) {
        if !tracing::enabled!(Level::DEBUG) {
            return;
        }
        for command in commands {
            tracing::debug!(
                partition = %self.partition,
                machine = %self.machine,
                route = ?self.route,
                token = %self.token,
                agent_epoch = self.agent_epoch,
                ?command,
                "command sent"
            );
        }
    }
}
