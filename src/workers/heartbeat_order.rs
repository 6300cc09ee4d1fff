//! The order in which a worker creates its heartbeats, across restarts of the worker.
//!
//! A worker numbers its heartbeats, but a restarted worker starts to count anew and forgets its
//! fencing token. The position in the count therefore orders only the heartbeats between two
//! restarts. Fencing tokens order the others. Two kinds of messages make a token known to a worker
//! that does not have it: direct commands, and responses to heartbeats that show a lower token than
//! the newest accepted heartbeat. Each of them carries a token that no message carried before, with
//! the exception below. The
//! first token that a restarted worker sees is thus higher than every token in a heartbeat from
//! before the restart.
//!
//! A direct command to a machine with known attempts may repeat a token. If its reply shows none of
//! these attempts, the worker may have restarted, and a raised token is required from then on. If
//! it shows one, the worker has not restarted.

use super::Heartbeat;
use crate::ids::FencingToken;

/// A heartbeat's position in the order in which a worker creates its heartbeats between two
/// restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct HeartbeatPosition {
    /// The agent epoch; 0 if no heartbeat has been accepted yet.
    pub(super) agent_epoch: u64,
    /// The heartbeat's number in its agent epoch.
    sequence: u64,
}

impl HeartbeatPosition {
    /// Whether a heartbeat has been accepted.
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

/// What is known of the newest accepted heartbeat.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KnownHeartbeat {
    /// Position of the heartbeat.
    pub(super) position: HeartbeatPosition,
    /// The lowest fencing token that a newer heartbeat can show: the token of the newest accepted
    /// heartbeat, or the token that was raised since because the worker restarted.
    pub(super) token: FencingToken,
}

impl KnownHeartbeat {
    /// Returns how a heartbeat, which may have been delayed, relates to the known one.
    pub(super) fn order(&self, heartbeat: &Heartbeat) -> HeartbeatOrder {
        let is_further = HeartbeatPosition::from(heartbeat) > self.position;
        if heartbeat.fencing_token < self.token {
            if is_further {
                HeartbeatOrder::Ambiguous
            } else {
                HeartbeatOrder::Stale
            }
        } else if is_further {
            HeartbeatOrder::Newer
        } else if heartbeat.fencing_token > self.token {
            HeartbeatOrder::NewerAfterRestart
        } else {
            HeartbeatOrder::Stale
        }
    }

    /// Returns whether a heartbeat that was created after the known one shows that the worker
    /// restarted in between: a running worker lowers neither its position nor its token.
    pub(super) fn shows_restart(&self, later: &Heartbeat) -> bool {
        self.position.is_known()
            && (HeartbeatPosition::from(later) <= self.position || later.fencing_token < self.token)
    }
}

/// How a heartbeat relates to the newest accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrder {
    /// It was created later.
    Newer,
    /// It was created later, and the worker restarted in between: its position is lower, but it
    /// shows a higher token.
    NewerAfterRestart,
    /// It was created before a restart of the worker and has been delayed, or after a restart by a
    /// worker that has not seen its token again: its position is higher, but it shows a lower
    /// token.
    Ambiguous,
    /// It was created earlier, or by a restarted worker that has not seen its token again.
    Stale,
}

impl HeartbeatOrder {
    /// Whether the heartbeat is known to have been created later.
    pub fn is_newer(self) -> bool {
        matches!(
            self,
            HeartbeatOrder::Newer | HeartbeatOrder::NewerAfterRestart
        )
    }
}

#[cfg(test)]
mod tests;
