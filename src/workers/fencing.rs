//! Fencing: tracks which of the owner's commands may still reach a worker.
//!
//! A worker drops every command whose fencing token is lower than the highest token that it has
//! seen. Raising the token therefore invalidates all commands that were sent before. Once a
//! heartbeat shows the raised token, none of them can take effect any more, and the heartbeat was
//! created after the token was raised.

use crate::ids::{FencingToken, Term};

/// Number of tokens of a term that are kept in reserve. A machine with fewer left is released once
/// it is idle, because commands to it could no longer be fenced.
const RESERVED_TOKENS: u64 = 1 << 10;

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
    /// The lowest token that a heartbeat newer than all accepted ones can show: the token of the
    /// newest accepted one, or the token that was raised since because the worker restarted.
    newest_token: FencingToken,
    /// Number of responses since a heartbeat last showed the token of one of them.
    unacknowledged_responses: u32,
    /// The token of the first of these responses.
    first_unacknowledged_token: FencingToken,
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
            newest_token: FencingToken(0),
            unacknowledged_responses: 0,
            first_unacknowledged_token: FencingToken(0),
            pending_fence_token: None,
        }
    }

    /// Returns the token under which commands are sent now.
    pub(super) fn token(&self) -> FencingToken {
        FencingToken::of(self.term, self.fencing_epoch)
    }

    /// Returns how often the token was raised.
    pub(super) fn raised_tokens(&self) -> u64 {
        self.fencing_epoch
    }

    /// Raises the token, which fences all commands sent before, including delayed direct commands.
    /// A heartbeat that shows the raised token was created after this call.
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

    /// Returns the lowest token that a heartbeat newer than all accepted ones can show.
    pub(super) fn newest_token(&self) -> FencingToken {
        self.newest_token
    }

    /// Whether a token is lower than a heartbeat newer than all accepted ones can show.
    pub(super) fn is_regression(&self, token: FencingToken) -> bool {
        token < self.newest_token
    }

    /// Whether so few tokens of the term are left that the machine has to be released.
    pub(super) fn is_nearly_exhausted(&self) -> bool {
        self.fencing_epoch + RESERVED_TOKENS > FencingToken::MAX_EPOCH
    }

    /// Records the token of an accepted heartbeat.
    pub(super) fn record_seen(&mut self, token: FencingToken) {
        self.newest_token = self.newest_token.max(token);
        if token >= self.first_unacknowledged_token {
            self.unacknowledged_responses = 0;
        }
        if self
            .pending_fence_token
            .is_some_and(|pending| token >= pending)
        {
            self.pending_fence_token = None;
        }
    }

    /// Records that the worker restarted and forgot its token. Fences the commands sent before,
    /// and heartbeats from before the restart.
    pub(super) fn record_restart(&mut self) {
        self.fence_delayed_commands();
        self.newest_token = self.token();
    }

    /// Fences heartbeats that were created before this call, because the worker may have
    /// restarted: only those that show the raised token are newer than the accepted ones.
    pub(super) fn fence_heartbeats(&mut self) {
        self.newest_token = self.raise();
    }

    /// Records a response to a heartbeat with this token.
    pub(super) fn record_response(&mut self, token: FencingToken) {
        if token >= self.token() {
            return;
        }
        if self.unacknowledged_responses == 0 {
            self.first_unacknowledged_token = self.token();
        }
        self.unacknowledged_responses += 1;
    }

    /// Whether no heartbeat has shown the token of any of at least [`MAX_UNACKNOWLEDGED`]
    /// responses, so that responses do not seem to arrive.
    pub(super) fn is_unacknowledged(&self) -> bool {
        self.unacknowledged_responses >= MAX_UNACKNOWLEDGED
    }
}
