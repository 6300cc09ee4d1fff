//! The channel on which an owner sends commands directly to a machine's worker, in addition to
//! the responses to the worker's heartbeats. At most one direct command to a machine is in flight.

use super::AttemptKey;
use super::fencing::MAX_UNACKNOWLEDGED;
use super::heartbeat_order::KnownHeartbeat;
use crate::clock::Micros;

/// The last direct command that was sent.
#[derive(Debug)]
struct LastDirectCommand {
    /// The newest heartbeat that was known before the command was sent. The reply was created
    /// after it.
    known_heartbeat: KnownHeartbeat,
    /// The attempts that heartbeats had shown before the command was sent. If the reply shows one
    /// of them, the worker has not restarted. If there are none, the command has a token that no
    /// message carried before.
    shown_attempts: Vec<AttemptKey>,
    /// Whether neither a reply nor a failure of the command has been recorded yet.
    is_in_flight: bool,
}

/// The state of a machine's direct-command channel.
#[derive(Debug)]
pub(super) struct DirectCommandChannel {
    last: Option<LastDirectCommand>,
    /// Instant before which no direct command is sent.
    next_at: Micros,
    /// Number of consecutive direct commands that could not be sent. A heartbeat does not reset
    /// it, because heartbeats may arrive while nothing reaches the worker.
    consecutive_unsent: u32,
    /// Number of direct commands that were sent after a failover to make the owner's fencing
    /// token known to the worker.
    token_commands: u32,
}

impl DirectCommandChannel {
    /// Creates a channel on which nothing has been sent.
    pub(super) fn new() -> Self {
        DirectCommandChannel {
            last: None,
            next_at: Micros::ZERO,
            consecutive_unsent: 0,
            token_commands: 0,
        }
    }

    /// Whether a direct command is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.last.as_ref().is_some_and(|last| last.is_in_flight)
    }

    /// Returns the newest heartbeat that was known before the last direct command was sent.
    pub(super) fn known_heartbeat(&self) -> KnownHeartbeat {
        let last = self.last.as_ref();
        last.map_or(KnownHeartbeat::default(), |last| last.known_heartbeat)
    }

    /// Returns the attempts that heartbeats had shown before the last direct command was sent.
    pub(super) fn shown_attempts(&self) -> &[AttemptKey] {
        let last = self.last.as_ref();
        last.map_or(&[], |last| &last.shown_attempts)
    }

    /// Returns the instant before which no direct command is sent.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Returns the number of consecutive direct commands that could not be sent.
    pub(super) fn consecutive_unsent(&self) -> u32 {
        self.consecutive_unsent
    }

    /// Whether at least [`MAX_UNACKNOWLEDGED`] consecutive direct commands could not be sent.
    pub(super) fn is_unreachable(&self) -> bool {
        self.consecutive_unsent >= MAX_UNACKNOWLEDGED
    }

    /// Returns the number of direct commands that were sent after a failover to make the owner's
    /// fencing token known to the worker.
    pub(super) fn token_commands(&self) -> u32 {
        self.token_commands
    }

    /// Records that a direct command is sent and that the next one may be sent from `next_at` on.
    pub(super) fn record_sent(
        &mut self,
        known_heartbeat: KnownHeartbeat,
        shown_attempts: Vec<AttemptKey>,
        delivers_token: bool,
        next_at: Micros,
    ) {
        self.last = Some(LastDirectCommand {
            known_heartbeat,
            shown_attempts,
            is_in_flight: true,
        });
        self.token_commands += u32::from(delivers_token);
        self.next_at = next_at;
    }

    /// Records that the last direct command is no longer in flight.
    pub(super) fn record_completed(&mut self) {
        if let Some(last) = &mut self.last {
            last.is_in_flight = false;
        }
    }

    /// Records a reply to the last direct command, which shows that the worker is reachable.
    pub(super) fn record_reply(&mut self) {
        self.record_completed();
        self.consecutive_unsent = 0;
    }

    /// Records that the last direct command was not sent and may be retried from `retry_at` on.
    pub(super) fn record_not_sent(&mut self, retry_at: Micros) {
        self.record_completed();
        self.next_at = retry_at;
        self.token_commands = self.token_commands.saturating_sub(1);
        self.consecutive_unsent += 1;
    }
}
