//! The state of a machine's worker agent: its current epoch and its newest accepted heartbeat.

use super::Heartbeat;
use super::heartbeat_order::HeartbeatPosition;

/// How a heartbeat changes the known agent epoch of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EpochChange {
    /// The heartbeat is of the known epoch.
    Unchanged,
    /// The heartbeat is of the first epoch that becomes known.
    First,
    /// The heartbeat is of a later epoch. The known epoch has ended: the worker's lease expired,
    /// and the worker stopped all of its tasks.
    Advanced,
}

/// The owner's knowledge of a machine's worker agent.
#[derive(Debug, Default)]
pub(super) struct AgentState {
    /// Position of the newest accepted heartbeat.
    position: HeartbeatPosition,
    /// Agent epoch of the last stale heartbeat. Direct commands are addressed to it unless the
    /// newest accepted heartbeat is of a later epoch.
    last_stale_agent_epoch: u64,
    /// Whether any heartbeat has arrived, accepted or stale. Even a stale one shows that the
    /// machine has booted.
    has_sent_heartbeat: bool,
    /// Whether an earlier owner may have used the machine. If so, the attempts on it are unknown
    /// until a heartbeat shows this owner's term.
    is_unconfirmed: bool,
    /// Whether a direct command is needed to find out the worker's state. This is the case after
    /// a heartbeat that seems older than the newest accepted one: it is either a late copy or
    /// was sent by a restarted worker.
    needs_probe: bool,
}

impl AgentState {
    /// Returns the position of the newest accepted heartbeat.
    pub(super) fn position(&self) -> HeartbeatPosition {
        self.position
    }

    /// Returns the agent epoch to which direct commands are addressed. A worker that is in
    /// another epoch rejects the command and replies with a new heartbeat.
    pub(super) fn target_epoch(&self) -> u64 {
        // Epochs are counted from 1, and most machines are still in their first one.
        self.position
            .agent_epoch
            .max(self.last_stale_agent_epoch)
            .max(1)
    }

    /// Whether any heartbeat has arrived, accepted or stale.
    pub(super) fn has_sent_heartbeat(&self) -> bool {
        self.has_sent_heartbeat
    }

    /// Whether an earlier owner may have used the machine and no heartbeat has shown this
    /// owner's term since.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Records whether an earlier owner may have used the machine.
    pub(super) fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.is_unconfirmed = is_unconfirmed;
    }

    /// Whether a direct command is needed to find out the worker's state.
    pub(super) fn needs_probe(&self) -> bool {
        self.needs_probe
    }

    /// Records whether a direct command is needed to find out the worker's state.
    pub(super) fn set_needs_probe(&mut self, needs_probe: bool) {
        self.needs_probe = needs_probe;
    }

    /// Records an accepted heartbeat and returns how it changes the known agent epoch.
    pub(super) fn advance(&mut self, heartbeat: &Heartbeat) -> EpochChange {
        let known = self.position.agent_epoch;
        self.position = HeartbeatPosition::from(heartbeat);
        // Guards against commands to the epoch of a delayed heartbeat from before a restart, which
        // may be higher than the restarted worker's epoch. The worker would reject all of them.
        self.last_stale_agent_epoch = 0;
        self.has_sent_heartbeat = true;
        self.is_unconfirmed = false;
        if heartbeat.agent_epoch == known {
            EpochChange::Unchanged
        } else if known != 0 && heartbeat.agent_epoch > known {
            EpochChange::Advanced
        } else {
            EpochChange::First
        }
    }

    /// Records a stale heartbeat.
    pub(super) fn record_stale(&mut self, heartbeat: &Heartbeat) {
        self.has_sent_heartbeat = true;
        self.last_stale_agent_epoch = heartbeat.agent_epoch;
    }

    /// Records that the worker restarted. Heartbeats newer than this one are accepted from now
    /// on, even if their position is lower than that of heartbeats from before the restart.
    pub(super) fn record_restart(&mut self, heartbeat: &Heartbeat) {
        self.position = HeartbeatPosition::from(heartbeat);
        self.last_stale_agent_epoch = 0;
        self.needs_probe = false;
    }
}
