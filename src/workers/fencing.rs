//! Fencing: tracks which of the owner's commands may still reach a worker.
//!
//! A worker drops every command whose fencing token is lower than the highest token that it has
//! seen. Raising the token therefore invalidates all commands that were sent before. Once a
//! heartbeat shows the raised token, none of them can take effect any more.

use crate::ids::{FencingToken, Term};

/// Number of consecutive unacknowledged responses or commands, or of direct commands that could
/// not be sent, after which a machine counts as unreachable.
pub(super) const MAX_UNACKNOWLEDGED: u32 = 3;

/// The fencing token of one machine, and the highest token that its worker has shown.
#[derive(Debug)]
pub(super) struct Fencing {
    /// The term under which commands are sent to the machine.
    term: Term,
    /// The epoch within the term. It is raised to fence the owner's own delayed commands.
    fencing_epoch: u64,
    /// The highest token that a heartbeat has shown.
    highest_seen_token: FencingToken,
    /// Number of consecutive responses to heartbeats that did not show the current token.
    unacknowledged_responses: u32,
    /// The token that fences an unanswered direct command, which may still arrive until a
    /// heartbeat shows this token. `None` if no such command may arrive.
    pending_fence_token: Option<FencingToken>,
}

impl Fencing {
    /// Starts with the first token of a term, which no heartbeat has shown yet.
    pub(super) fn new(term: Term) -> Self {
        Fencing {
            term,
            fencing_epoch: 0,
            highest_seen_token: FencingToken(0),
            unacknowledged_responses: 0,
            pending_fence_token: None,
        }
    }

    /// Returns the token under which commands are sent now.
    pub(super) fn token(&self) -> FencingToken {
        FencingToken::of(self.term, self.fencing_epoch)
    }

    /// Raises the token, which fences all commands sent before, including delayed direct commands.
    /// This needs no access to the key-value store: the term belongs to this owner alone, and so
    /// do the epochs within the term.
    pub(super) fn raise(&mut self) -> FencingToken {
        self.fencing_epoch += 1;
        self.token()
    }

    /// Raises the token because a direct command that was sent may still arrive.
    pub(super) fn fence_delayed_commands(&mut self) {
        let token = self.raise();
        self.pending_fence_token = Some(token);
    }

    /// Whether a direct command that was sent may still arrive.
    pub(super) fn has_delayed_commands(&self) -> bool {
        self.pending_fence_token.is_some()
    }

    /// Records that no delayed command can take effect any more, no matter when it arrives.
    pub(super) fn discard_delayed_commands(&mut self) {
        self.pending_fence_token = None;
    }

    /// Whether a token is of this owner's term or of a higher one.
    pub(super) fn is_of_term(&self, token: FencingToken) -> bool {
        token >= FencingToken::of(self.term, 0)
    }

    /// Whether a token is lower than the highest one that was shown before.
    pub(super) fn is_regression(&self, token: FencingToken) -> bool {
        self.highest_seen_token > FencingToken(0) && token < self.highest_seen_token
    }

    /// Records the token of an accepted heartbeat.
    pub(super) fn record_seen(&mut self, token: FencingToken) {
        self.highest_seen_token = self.highest_seen_token.max(token);
        if token >= self.token() {
            self.unacknowledged_responses = 0;
        }
        if self
            .pending_fence_token
            .is_some_and(|pending| token >= pending)
        {
            self.pending_fence_token = None;
        }
    }

    /// Records that the worker restarted with this token, having forgotten any higher one, and
    /// fences the commands sent before.
    pub(super) fn record_restart(&mut self, token: FencingToken) {
        self.highest_seen_token = token;
        self.fence_delayed_commands();
    }

    /// Records a response to a heartbeat with this token.
    pub(super) fn record_response(&mut self, token: FencingToken) {
        if token < self.token() {
            self.unacknowledged_responses += 1;
        }
    }

    /// Whether at least [`MAX_UNACKNOWLEDGED`] consecutive responses went to heartbeats that did
    /// not show the current token, so that responses do not seem to arrive.
    pub(super) fn is_unacknowledged(&self) -> bool {
        self.unacknowledged_responses >= MAX_UNACKNOWLEDGED
    }
}
