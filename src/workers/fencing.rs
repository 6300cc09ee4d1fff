//! Fencing: which of the owner's commands may still reach a worker.
//!
//! A worker drops commands under a lower token than the highest that it has seen. So a token
//! is raised to invalidate what was sent before, and what was sent before is ruled out once a
//! heartbeat shows the raised token.

use crate::ids::{FencingToken, Term};

/// After so many unacknowledged responses or commands in a row a machine is unreachable.
pub(super) const MAX_UNACKNOWLEDGED: u32 = 3;

/// The fencing token of one machine, and how much of it the worker has shown.
#[derive(Debug)]
pub(super) struct Fencing {
    /// The term under which the machine is commanded.
    term: Term,
    /// Raised to fence the owner's own delayed commands within the term.
    fencing_epoch: u64,
    /// The highest token that a heartbeat has shown.
    highest_seen_token: FencingToken,
    /// Responses in a row to heartbeats that did not show the current token.
    unacknowledged: u32,
    /// An unanswered direct command may still arrive until a heartbeat shows this token.
    unfenced_token: Option<FencingToken>,
}

impl Fencing {
    /// The first token of a term; no heartbeat has shown it.
    pub(super) fn new(term: Term) -> Self {
        Fencing {
            term,
            fencing_epoch: 0,
            highest_seen_token: FencingToken(0),
            unacknowledged: 0,
            unfenced_token: None,
        }
    }

    /// The token that the worker is to obey now.
    pub(super) fn token(&self) -> FencingToken {
        FencingToken::of(self.term, self.fencing_epoch)
    }

    /// Fences all commands sent before, delayed direct commands included. The key-value
    /// store need not be read: the term is this owner's, and so is the epoch below it.
    pub(super) fn raise(&mut self) -> FencingToken {
        self.fencing_epoch += 1;
        self.token()
    }

    /// Raises the token because a command that was sent may still arrive.
    pub(super) fn fence_delayed_commands(&mut self) {
        let token = self.raise();
        self.unfenced_token = Some(token);
    }

    /// Whether a command that was sent may still arrive.
    pub(super) fn has_delayed_commands(&self) -> bool {
        self.unfenced_token.is_some()
    }

    /// The worker drops what was sent before, however late it arrives.
    pub(super) fn discard_delayed_commands(&mut self) {
        self.unfenced_token = None;
    }

    /// Whether a token is of this owner's term, or of a higher one.
    pub(super) fn is_of_term(&self, token: FencingToken) -> bool {
        token >= FencingToken::of(self.term, 0)
    }

    /// Whether a token is lower than one shown before.
    pub(super) fn is_regression(&self, token: FencingToken) -> bool {
        self.highest_seen_token > FencingToken(0) && token < self.highest_seen_token
    }

    /// Records the token of a heartbeat that counts.
    pub(super) fn record_seen(&mut self, token: FencingToken) {
        self.highest_seen_token = self.highest_seen_token.max(token);
        if token >= self.token() {
            self.unacknowledged = 0;
        }
        if self
            .unfenced_token
            .is_some_and(|unfenced| token >= unfenced)
        {
            self.unfenced_token = None;
        }
    }

    /// Records that the worker restarted with this token and forgot a higher one.
    pub(super) fn record_restart(&mut self, token: FencingToken) {
        self.highest_seen_token = token;
        self.fence_delayed_commands();
    }

    /// Records a response to a heartbeat with this token.
    pub(super) fn record_response(&mut self, token: FencingToken) {
        if token < self.token() {
            self.unacknowledged += 1;
        }
    }

    /// Whether heartbeats show again and again that the responses do not arrive.
    pub(super) fn is_unacknowledged(&self) -> bool {
        self.unacknowledged >= MAX_UNACKNOWLEDGED
    }
}
