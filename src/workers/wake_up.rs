//! Wake-ups: direct commands that make a worker send a heartbeat at once.
//!
//! A copy of a direct command may arrive at any later time, also at a worker that has restarted and
//! has forgotten its attempts and its fencing token. Attempts are therefore launched only in
//! responses to heartbeats, which a worker never carries out late. A worker sends a heartbeat as
//! soon as its tasks change. If it is to send one now, a direct command launches a task of a job
//! that can't exist. The worker rejects the launch and reports the rejected attempt, and the
//! response to that heartbeat launches the attempts that wait for it. A copy of a wake-up starts
//! nothing anywhere.

use super::{AttemptKey, Heartbeat, WorkerCommand};
use crate::clock::Micros;
use crate::ids::{AttemptId, Term};
use std::collections::BTreeSet;

/// The job whose task a wake-up launches. It is not well formed, so no such job is ever accepted.
const WAKE_UP_JOB: &str = "j-wake-up";
/// The task that a wake-up launches.
const WAKE_UP_TASK: &str = "j-wake-up/0";
/// Time after a wake-up within which the worker's heartbeat is expected. A worker waits for half a
/// second at most before it reports a change.
const HEARTBEAT_WAIT: Micros = Micros::from_millis(1_000);

/// A wake-up whose heartbeat has not arrived yet.
#[derive(Debug)]
struct SentWakeUp {
    attempt: AttemptId,
    sent_at: Micros,
}

/// The wake-ups that were sent to a worker.
#[derive(Debug)]
pub(super) struct WakeUps {
    term: Term,
    /// Number of wake-ups that this owner has sent to the worker.
    sent: u64,
    /// The last wake-up; `None` if its heartbeat has arrived or is not expected any more.
    awaited: Option<SentWakeUp>,
    /// Rejected attempts that the newest accepted heartbeat shows, of this owner or of an earlier
    /// one.
    rejected: BTreeSet<AttemptKey>,
}

impl WakeUps {
    /// Starts without wake-ups, for an owner that has this term.
    pub(super) fn new(term: Term) -> Self {
        WakeUps {
            term,
            sent: 0,
            awaited: None,
            rejected: BTreeSet::new(),
        }
    }

    /// Whether a heartbeat of the worker is expected soon because of a wake-up.
    pub(super) fn is_heartbeat_expected(&self, now: Micros) -> bool {
        let awaited = self.awaited.as_ref();
        awaited.is_some_and(|wake_up| now.since(wake_up.sent_at) < HEARTBEAT_WAIT)
    }

    /// Returns the command of a new wake-up. Its attempt is a new one, because a worker ignores the
    /// launch of an attempt that it shows.
    pub(super) fn send(&mut self, now: Micros) -> WorkerCommand {
        self.sent += 1;
        let attempt = AttemptId::of(self.term, self.sent);
        self.awaited = Some(SentWakeUp {
            attempt,
            sent_at: now,
        });
        WorkerCommand::Launch {
            task: WAKE_UP_TASK.to_owned(),
            attempt,
        }
    }

    /// Records an accepted heartbeat that the worker sent on its own.
    pub(super) fn record_heartbeat(&mut self) {
        self.awaited = None;
    }

    /// Records the reply to a direct command. If it does not show the last wake-up, the worker did
    /// not carry the command out, and no heartbeat is expected.
    pub(super) fn record_reply(&mut self, reply: &Heartbeat) {
        let is_shown = |wake_up: &SentWakeUp| {
            let mut reported = reply.tasks.iter();
            reported.any(|status| status.attempt == wake_up.attempt && status.task == WAKE_UP_TASK)
        };
        self.awaited = self.awaited.take().filter(is_shown);
    }

    /// Records that the last direct command was not sent.
    pub(super) fn record_not_sent(&mut self) {
        self.awaited = None;
    }

    /// Replaces the rejected attempts by those that an accepted heartbeat shows.
    pub(super) fn set_rejected(&mut self, rejected: BTreeSet<AttemptKey>) {
        self.rejected = rejected;
    }

    /// Returns the commands that make the worker forget the rejected attempts.
    pub(super) fn reaps(&self) -> impl Iterator<Item = WorkerCommand> {
        self.rejected.iter().map(|key| WorkerCommand::Reap {
            task: key.task.to_string(),
            attempt: key.attempt,
        })
    }
}

impl AttemptKey {
    /// Whether the attempt is that of a wake-up.
    pub(super) fn is_wake_up(&self) -> bool {
        self.task.job.as_str() == WAKE_UP_JOB
    }
}

#[cfg(test)]
mod tests;
