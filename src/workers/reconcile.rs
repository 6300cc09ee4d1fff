//! Reconciliation: updates the owner's state of a machine from a worker's heartbeat.
//!
//! An attempt is removed only when it is guaranteed not to run and not to be started later by a
//! delayed command.

use super::agent::EpochChange;
use super::heartbeat_order::{HeartbeatOrder, KnownHeartbeat};
use super::{Attempt, AttemptKey, AttemptPhase, ExitCause, Heartbeat, Machine, TaskStatus};
use crate::clock::Micros;
use crate::ids::FencingToken;
use std::collections::BTreeSet;

/// A change of an attempt that a heartbeat shows.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// The attempt started to run.
    Started(AttemptKey),
    /// The attempt ended for this reason.
    Ended(AttemptKey, ExitCause),
    /// The attempt is gone without a result, because the agent epoch ended or the attempt never
    /// started.
    Lost(AttemptKey),
    /// The heartbeat shows an attempt that is not in the owner's state.
    Unknown(AttemptKey, AttemptPhase, Option<ExitCause>),
}

impl Machine {
    /// Returns how a heartbeat relates to the newest accepted one. An isolated network may hold
    /// heartbeats back and deliver them late, with outdated task lists, also after a restart of the
    /// worker.
    pub fn order(&self, heartbeat: &Heartbeat) -> HeartbeatOrder {
        self.known_heartbeat().order(heartbeat)
    }

    /// Returns what is known of the newest accepted heartbeat.
    pub(super) fn known_heartbeat(&self) -> KnownHeartbeat {
        KnownHeartbeat {
            position: self.agent.position(),
            token: self.fencing.newest_token(),
        }
    }

    /// Whether a heartbeat shows this owner's term or a later one. No other heartbeat is accepted:
    /// commands of an earlier owner may still have been in transit when the worker created it, and
    /// a late copy of an old heartbeat may arrive at any time.
    pub fn shows_term(&self, heartbeat: &Heartbeat) -> bool {
        self.fencing.is_of_term(heartbeat.fencing_token)
    }

    /// Records a stale heartbeat: one that shows an earlier term, or one that is not known to be
    /// newer than every heartbeat accepted before.
    pub fn record_stale_heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.agent.record_stale(heartbeat);
        if self.fencing.is_regression(heartbeat.fencing_token) {
            self.agent.set_needs_probe(true);
        }
    }

    /// Records an accepted heartbeat that the worker sent on its own.
    pub fn record_heartbeat(&mut self, now: Micros) {
        self.liveness.record_heartbeat(now);
        self.wake_ups.record_heartbeat();
    }

    /// Records that a response to a heartbeat is sent.
    pub fn record_response(&mut self, now: Micros, heartbeat: &Heartbeat) {
        self.liveness.record_response(now);
        self.fencing.record_response(heartbeat.fencing_token);
    }

    /// Raises the fencing token for a response to a heartbeat that does not show the newest known
    /// token. The worker may have restarted, so the response must carry a token that no heartbeat
    /// from before the restart can show.
    pub fn raise_token_for_response(&mut self) {
        self.fencing.raise();
    }

    /// Whether a reply to a direct command shows that the worker restarted. The worker creates the
    /// reply after the command was sent, and so after the newest heartbeat that was known then.
    pub fn has_restarted(&self, reply: &Heartbeat) -> bool {
        self.direct_commands.known_heartbeat().shows_restart(reply)
    }

    /// Records a reply to a direct command that does not show a restart. Unless it proves that
    /// there was none, the command may have made a token known to a restarted worker which
    /// heartbeats from before the restart show as well, and these are fenced.
    pub fn fence_heartbeats_unless_running(&mut self, reply: &Heartbeat) {
        let shown = self.direct_commands.shown_attempts();
        let is_shown = |status| AttemptKey::of(status).is_some_and(|key| shown.contains(&key));
        if !shown.is_empty() && !reply.tasks.iter().any(is_shown) {
            self.fencing.fence_heartbeats();
        }
    }

    /// Records that the worker restarted and forgot its fencing token, as its reply to a direct
    /// command shows. Commands sent before may still reach the worker, so its attempts count as
    /// lost only once a heartbeat shows a higher token.
    pub fn record_restart(&mut self, now: Micros, reply: &Heartbeat) {
        self.liveness.record_possible_lease_start(now);
        self.agent.record_restart(reply);
        self.fencing.record_restart();
        self.images.clear();
    }

    /// Updates the machine from an accepted heartbeat and returns the changes of its attempts. The
    /// caller must have checked that the heartbeat is newer than every one accepted before, by
    /// [`Machine::order`], and shows this owner's term.
    pub fn reconcile(&mut self, now: Micros, heartbeat: &Heartbeat) -> Vec<AttemptEvent> {
        if self.order(heartbeat) == HeartbeatOrder::NewerAfterRestart {
            self.images.clear();
        }
        if !self.proves_no_restart(heartbeat) {
            self.liveness.record_possible_lease_start(now);
        }
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

    /// Whether an accepted heartbeat proves that the worker has not restarted since the newest
    /// heartbeat accepted before: it still shows an attempt which that heartbeat or an earlier one
    /// has shown. A restart ends all attempts, and a launch is not sent again once a heartbeat has
    /// shown its attempt. Nothing else proves it, since a restarted worker may have counted past
    /// the known position, and a direct command makes the token known to it again.
    fn proves_no_restart(&self, heartbeat: &Heartbeat) -> bool {
        let is_known_attempt = |status: &TaskStatus| {
            let known = AttemptKey::of(status).and_then(|key| self.attempts.get(&key));
            known.is_some_and(Attempt::is_shown)
        };
        heartbeat.tasks.iter().any(is_known_attempt)
    }

    /// Records that the worker is alive, its address, and the token that it has seen.
    fn reconcile_worker(&mut self, now: Micros, heartbeat: &Heartbeat) {
        self.liveness.record_contact(now);
        self.schedulability.uncordon();
        self.agent
            .set_needs_probe(self.direct_commands.consecutive_unsent() > 0);
        self.fencing.record_seen(heartbeat.fencing_token);
        if heartbeat.addr != self.spec.addr {
            self.spec.addr.clone_from(&heartbeat.addr);
        }
    }

    /// Records the worker's agent epoch and the heartbeat's position in it. Returns whether the
    /// epoch known before has ended.
    fn reconcile_agent_epoch(&mut self, now: Micros, heartbeat: &Heartbeat) -> bool {
        let change = self.agent.advance(heartbeat);
        if change != EpochChange::Unchanged {
            // Guards against taking the lease for expired, and attempts of the new epoch for
            // ended, because the last response belongs to an earlier epoch. A machine whose
            // heartbeats do not get through may still carry out direct commands, over any number
            // of epochs.
            self.liveness.record_possible_lease_start(now);
        }
        let epoch_ended = change == EpochChange::Advanced;
        if epoch_ended {
            // The worker has stopped all of its attempts, and drops commands for the old epoch no
            // matter when they arrive.
            self.fencing.discard_delayed_commands();
            self.images.clear();
        }
        epoch_ended
    }

    /// Updates the attempts that the heartbeat shows and returns their keys. The rejected attempts of
    /// wake-ups are kept apart: they are no attempts of any job.
    fn reconcile_reported(
        &mut self,
        now: Micros,
        statuses: &[TaskStatus],
        events: &mut Vec<AttemptEvent>,
    ) -> BTreeSet<AttemptKey> {
        let mut reported = BTreeSet::new();
        let mut rejected = BTreeSet::new();
        for status in statuses {
            let Some(key) = AttemptKey::of(status) else {
                continue;
            };
            if key.is_wake_up() {
                rejected.insert(key);
                continue;
            }
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
        self.wake_ups.set_rejected(rejected);
        reported
    }

    /// Removes those attempts missing from the heartbeat that are guaranteed to have ended.
    fn reconcile_unreported(
        &mut self,
        reported: &BTreeSet<AttemptKey>,
        epoch_ended: bool,
        seen: FencingToken,
        events: &mut Vec<AttemptEvent>,
    ) {
        self.attempts.retain(|key, attempt| {
            if reported.contains(key) {
                return true;
            }
            // A launch may still arrive. The attempt stays, and its launch is sent again, until the
            // agent epoch ends or the worker has seen the token that fences it. A launch is not sent
            // again once a heartbeat has shown its attempt, so any other attempt is gone.
            let has_ended = attempt.is_shown() || epoch_ended || attempt.is_fenced_by(seen);
            if has_ended && !attempt.has_exited() {
                events.push(AttemptEvent::Lost(key.clone()));
            }
            !has_ended
        });
    }
}

/// The changes of an attempt that are reported as events.
struct AttemptChange {
    has_started: bool,
    has_ended: bool,
}

impl Attempt {
    /// Updates the attempt from its status in a heartbeat.
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
            // The abandoned launch reached the worker before the token that fences it did.
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
