//! The epochs of a machine's worker agent, and how far its heartbeats have been taken in.

use super::Heartbeat;

/// A heartbeat's place in the order in which a worker made its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct HeartbeatPosition {
    /// The agent epoch; 0: no heartbeat has counted yet.
    agent_epoch: u64,
    /// The heartbeat's number.
    sequence: u64,
}

impl HeartbeatPosition {
    /// Whether any heartbeat has counted.
    pub(super) fn is_known(self) -> bool {
        self.agent_epoch > 0
    }
}

impl From<&Heartbeat> for HeartbeatPosition {
    fn from(heartbeat: &Heartbeat) -> Self {
        HeartbeatPosition {
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.heartbeat_sequence,
        }
    }
}

/// What a heartbeat says of the worker's agent epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EpochChange {
    /// The epoch is the one known.
    Unchanged,
    /// The epoch is the first one known.
    First,
    /// The known epoch has ended: the worker's lease expired, and it stopped its tasks.
    Advanced,
}

/// What is known of a machine's worker agent.
#[derive(Debug, Default)]
pub(super) struct AgentState {
    /// The newest heartbeat that counts.
    position: HeartbeatPosition,
    /// The epoch of the last heartbeat that did not count, for direct commands until one does.
    last_seen_agent_epoch: u64,
    /// Whether any heartbeat has arrived. One that does not show the owner's token may be a
    /// late copy, but the machine is up.
    has_sent_heartbeat: bool,
    /// Whether an earlier owner held the machine: nothing is known of it until a heartbeat
    /// shows this owner's token.
    is_unconfirmed: bool,
    /// Whether a direct command is to find out the worker's state: a heartbeat came that
    /// looks older than what is known, either a late copy or of a restarted worker.
    needs_probe: bool,
}

impl AgentState {
    /// The newest heartbeat that counts.
    pub(super) fn position(&self) -> HeartbeatPosition {
        self.position
    }

    /// The epoch that a direct command is meant for; the worker refuses a wrong one with a
    /// fresh heartbeat.
    pub(super) fn target_epoch(&self) -> u64 {
        // Most machines are still in their first.
        self.position
            .agent_epoch
            .max(self.last_seen_agent_epoch)
            .max(1)
    }

    /// Whether any heartbeat has arrived.
    pub(super) fn has_sent_heartbeat(&self) -> bool {
        self.has_sent_heartbeat
    }

    /// Whether nothing is known of the machine since an earlier owner held it.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Records whether an earlier owner may have used the machine.
    pub(super) fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.is_unconfirmed = is_unconfirmed;
    }

    /// Whether a direct command is to find out the worker's state.
    pub(super) fn needs_probe(&self) -> bool {
        self.needs_probe
    }

    /// Records whether a direct command is to find out the worker's state.
    pub(super) fn set_needs_probe(&mut self, needs_probe: bool) {
        self.needs_probe = needs_probe;
    }

    /// Takes in a heartbeat that counts.
    pub(super) fn advance(&mut self, heartbeat: &Heartbeat) -> EpochChange {
        let known = self.position.agent_epoch;
        self.position = HeartbeatPosition::from(heartbeat);
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

    /// Records a heartbeat that does not count.
    pub(super) fn record_stale(&mut self, heartbeat: &Heartbeat) {
        self.has_sent_heartbeat = true;
        self.last_seen_agent_epoch = heartbeat.agent_epoch;
    }

    /// Records that the worker restarted, so that its heartbeats count from here.
    pub(super) fn record_restart(&mut self, heartbeat: &Heartbeat) {
        self.position = HeartbeatPosition::from(heartbeat);
        self.needs_probe = false;
    }
}
