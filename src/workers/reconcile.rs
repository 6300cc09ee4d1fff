//! Reconciliation: what a worker's heartbeat changes in the owner's picture of its machine.

use super::agent::{EpochChange, HeartbeatPosition};
use super::{Attempt, AttemptKey, AttemptPhase, ExitCause, Heartbeat, Machine, TaskStatus};
use crate::clock::Micros;
use crate::ids::{FencingToken, TaskId};
use std::collections::BTreeSet;

/// What a heartbeat changed.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// It began to run.
    Started(AttemptKey),
    /// It ended, and why.
    Ended(AttemptKey, ExitCause),
    /// It ended without a trace: the agent epoch ended, or it never began.
    Lost(AttemptKey),
    /// The heartbeat shows it, but it is not known here.
    Unknown(AttemptKey, AttemptPhase, Option<ExitCause>),
}

impl Machine {
    /// Whether a heartbeat is newer than what is known. An isolated network may keep
    /// heartbeats back and deliver them late; their task lists are as old as they are.
    pub fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        HeartbeatPosition::from(heartbeat) > self.agent.position()
    }

    /// Whether a heartbeat shows this owner's term: only then does it count for anything.
    /// What an earlier owner sent may still have been in transit when an older heartbeat was
    /// made, and a copy of an older one may arrive at any time.
    pub fn shows_term(&self, heartbeat: &Heartbeat) -> bool {
        self.fencing.is_of_term(heartbeat.fencing_token)
    }

    /// Records a heartbeat that does not count: from before this owner's term, or older than
    /// another.
    pub fn record_stale_heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.agent.record_stale(heartbeat);
        if self.fencing.is_regression(heartbeat.fencing_token) {
            self.agent.set_needs_probe(true);
        }
    }

    /// Records that the worker sent a heartbeat by itself that counts.
    pub fn record_heartbeat(&mut self, now: Micros) {
        self.liveness.record_heartbeat(now);
    }

    /// Records that a response to a heartbeat is sent.
    pub fn record_response(&mut self, now: Micros, heartbeat: &Heartbeat) {
        self.liveness.record_response(now);
        self.fencing.record_response(heartbeat.fencing_token);
    }

    /// Whether a reply to a direct command shows that the worker restarted: it was made
    /// after the command was sent, so it is newer than all that was known then, or of a
    /// worker that restarted.
    pub fn has_restarted(&self, reply: &Heartbeat) -> bool {
        self.agent.position().is_known()
            && HeartbeatPosition::from(reply) <= self.direct_commands.known_position()
    }

    /// Records that the worker restarted and forgot its token, as its reply to a direct
    /// command shows. What was sent before may still reach it, so that all it had is lost
    /// only once it shows a higher token.
    pub fn record_restart(&mut self, now: Micros, reply: &Heartbeat) {
        self.liveness.record_epoch_start(now);
        self.agent.record_restart(reply);
        self.fencing.record_restart(reply.fencing_token);
        self.images.clear();
    }

    /// Takes in a newer heartbeat that shows this owner's term.
    pub fn reconcile(&mut self, now: Micros, heartbeat: &Heartbeat) -> Vec<AttemptEvent> {
        self.reconcile_worker(now, heartbeat);
        let epoch_ended = self.reconcile_agent_epoch(now, heartbeat);
        let notice = heartbeat.termination_notice_s;
        self.preempted_at = notice.map(|notice_s| now + Micros::from_secs(notice_s));
        let mut events = Vec::new();
        let reported = self.reconcile_reported(now, &heartbeat.tasks, &mut events);
        self.reconcile_unreported(&reported, epoch_ended, heartbeat.fencing_token, &mut events);
        if !self.attempts.is_empty() {
            self.idle_since = now;
        }
        events
    }

    /// The worker lives, and has seen a token.
    fn reconcile_worker(&mut self, now: Micros, heartbeat: &Heartbeat) {
        self.liveness.record_counted(now);
        self.schedulability.uncordon();
        self.agent
            .set_needs_probe(self.direct_commands.unsent() > 0);
        self.fencing.record_seen(heartbeat.fencing_token);
        if heartbeat.addr != self.spec.addr {
            self.spec.addr.clone_from(&heartbeat.addr);
        }
    }

    /// The worker's agent epoch and the heartbeat's place in it. Returns whether the epoch
    /// known before has ended.
    fn reconcile_agent_epoch(&mut self, now: Micros, heartbeat: &Heartbeat) -> bool {
        let change = self.agent.advance(heartbeat);
        if change != EpochChange::Unchanged {
            // Guards against ending what was started in an epoch by the age of a response in
            // an earlier one: a machine whose heartbeats do not get through may well carry
            // out direct commands, in epoch after epoch.
            self.liveness.record_epoch_start(now);
        }
        let epoch_ended = change == EpochChange::Advanced;
        if epoch_ended {
            // The worker has killed all it had, and drops commands for the old epoch,
            // however late they arrive.
            self.fencing.discard_delayed_commands();
            self.images.clear();
        }
        epoch_ended
    }

    /// The attempts that the heartbeat shows. Returns their keys.
    fn reconcile_reported(
        &mut self,
        now: Micros,
        statuses: &[TaskStatus],
        events: &mut Vec<AttemptEvent>,
    ) -> BTreeSet<AttemptKey> {
        let mut reported = BTreeSet::new();
        for status in statuses {
            let Some(task) = TaskId::parse(&status.task) else {
                continue;
            };
            let key = AttemptKey {
                task,
                attempt: status.attempt,
            };
            reported.insert(key.clone());
            let Some(attempt) = self.attempts.get_mut(&key) else {
                events.push(AttemptEvent::Unknown(key, status.phase, status.cause));
                continue;
            };
            let change = attempt.reconcile(now, status);
            if change.has_started {
                self.images.extend(attempt.image());
                events.push(AttemptEvent::Started(key.clone()));
            }
            if change.has_ended {
                let cause = status.cause.unwrap_or(ExitCause::Other);
                events.push(AttemptEvent::Ended(key, cause));
            }
        }
        reported
    }

    /// The attempts that the heartbeat does not show: drops those that have surely ended.
    fn reconcile_unreported(
        &mut self,
        reported: &BTreeSet<AttemptKey>,
        epoch_ended: bool,
        seen: FencingToken,
        events: &mut Vec<AttemptEvent>,
    ) {
        let no_command_in_transit = self.has_no_command_in_transit();
        self.attempts.retain(|key, attempt| {
            if reported.contains(key) {
                return true;
            }
            let has_ended = match attempt.phase {
                // No heartbeat has shown it: it may still arrive, so it stays, and is sent
                // again, until the agent epoch ends or the worker has seen its fence.
                AttemptPhase::Launching => epoch_ended || attempt.is_fenced_by(seen),
                AttemptPhase::Exited => true,
                _ => epoch_ended || no_command_in_transit,
            };
            if has_ended && !attempt.has_exited() {
                events.push(AttemptEvent::Lost(key.clone()));
            }
            !has_ended
        });
    }
}

/// What a heartbeat changed in an attempt.
struct AttemptChange {
    has_started: bool,
    has_ended: bool,
}

impl Attempt {
    /// Takes in what a heartbeat shows of it.
    fn reconcile(&mut self, now: Micros, status: &TaskStatus) -> AttemptChange {
        let previous = std::mem::replace(&mut self.phase, status.phase);
        if previous != status.phase {
            self.unacknowledged_sends = 0;
        }
        self.cause = status.cause;
        let has_started = status.phase == AttemptPhase::Running && self.running_since.is_none();
        if has_started {
            self.running_since = Some(now);
        }
        if self.is_abandoned() && !self.has_exited() && !self.is_stopping() {
            // It began after all, before the fence reached the worker.
            self.request_stop(0.0);
        }
        AttemptChange {
            has_started,
            has_ended: self.has_exited() && previous != AttemptPhase::Exited,
        }
    }
}

#[cfg(test)]
mod tests;
