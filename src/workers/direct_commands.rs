//! The channel on which an owner sends commands straight to a machine's worker, beside the
//! responses to its heartbeats.

use super::agent::HeartbeatPosition;
use super::fencing::MAX_UNACKNOWLEDGED;
use crate::clock::Micros;

/// The last direct command that was sent.
#[derive(Debug, Clone, Copy)]
struct LastDirectCommand {
    /// The newest heartbeat known when it was sent: its reply is newer.
    known_position: HeartbeatPosition,
    /// Whether its reply, or that there is none, is still to come.
    is_in_flight: bool,
}

/// The state of a machine's direct-command channel: at most one command is in flight.
#[derive(Debug)]
pub(super) struct DirectCommandChannel {
    last: Option<LastDirectCommand>,
    /// No direct command is sent before.
    next_at: Micros,
    /// Direct commands in a row that could not be sent. Heartbeats do not make up for them:
    /// they may arrive while nothing reaches the worker.
    unsent: u32,
    /// How many direct commands have carried the token to the machine after a failover.
    token_commands: u32,
}

impl DirectCommandChannel {
    /// A channel on which nothing was sent.
    pub(super) fn new() -> Self {
        DirectCommandChannel {
            last: None,
            next_at: Micros::ZERO,
            unsent: 0,
            token_commands: 0,
        }
    }

    /// Whether a direct command is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.last.is_some_and(|last| last.is_in_flight)
    }

    /// The newest heartbeat known when the last direct command was sent.
    pub(super) fn known_position(&self) -> HeartbeatPosition {
        self.last
            .map_or(HeartbeatPosition::default(), |last| last.known_position)
    }

    /// No direct command is sent before this instant.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Direct commands in a row that could not be sent.
    pub(super) fn unsent(&self) -> u32 {
        self.unsent
    }

    /// Whether so many direct commands in a row could not be sent that the worker counts as
    /// unreachable.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unsent >= MAX_UNACKNOWLEDGED
    }

    /// How many direct commands have carried the token to the machine after a failover.
    pub(super) fn token_commands(&self) -> u32 {
        self.token_commands
    }

    /// Records that a direct command is sent, and when the next one may follow.
    pub(super) fn record_sent(
        &mut self,
        known_position: HeartbeatPosition,
        carries_token: bool,
        next_at: Micros,
    ) {
        self.last = Some(LastDirectCommand {
            known_position,
            is_in_flight: true,
        });
        self.token_commands += u32::from(carries_token);
        self.next_at = next_at;
    }

    /// Records that the command is no longer in flight.
    pub(super) fn record_completed(&mut self) {
        if let Some(last) = &mut self.last {
            last.is_in_flight = false;
        }
    }

    /// Records a reply: the worker is reachable.
    pub(super) fn record_reply(&mut self) {
        self.record_completed();
        self.unsent = 0;
    }

    /// Records that the command was not sent, and when the next one may be tried.
    pub(super) fn record_not_sent(&mut self, retry_at: Micros) {
        self.record_completed();
        self.next_at = retry_at;
        self.token_commands = self.token_commands.saturating_sub(1);
        self.unsent += 1;
    }
}
