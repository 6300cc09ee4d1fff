//! The commands that are sent to a machine's worker, and the consequences of direct commands that
//! are lost or can't be sent.

use super::{Attempt, AttemptKey, AttemptPhase, Heartbeat, Machine, WorkerCommand};
use crate::clock::Micros;

impl Machine {
    /// Whether a direct command is in flight.
    pub fn has_direct_command_in_flight(&self) -> bool {
        self.direct_commands.is_in_flight()
    }

    /// Returns the instant before which no direct command is sent.
    pub fn next_direct_command_at(&self) -> Micros {
        self.direct_commands.next_at()
    }

    /// Returns the number of consecutive direct commands that could not be sent.
    pub fn unsent_commands(&self) -> u32 {
        self.direct_commands.consecutive_unsent()
    }

    /// Returns the number of direct commands that were sent after a failover to make the owner's
    /// fencing token known to the worker.
    pub fn token_commands(&self) -> u32 {
        self.direct_commands.token_commands()
    }

    /// Records that a direct command is about to be sent and that the next one may be sent from
    /// `next_at` on. `delivers_token` says whether the command is sent to make the owner's fencing
    /// token known to the worker after a failover.
    ///
    /// Raises the fencing token under which the command is to be sent if the reply can't prove that
    /// the worker has not restarted: no heartbeat from before a restart must show the token that a
    /// restarted worker gets.
    pub fn record_direct_command_sent(&mut self, delivers_token: bool, next_at: Micros) {
        let shown = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.is_shown());
        let shown: Vec<AttemptKey> = shown.map(|(key, _)| key.clone()).collect();
        if shown.is_empty() {
            self.fencing.raise();
        }
        self.direct_commands
            .record_sent(self.known_heartbeat(), shown, delivers_token, next_at);
    }

    /// Records that the worker replied to a direct command.
    pub fn record_direct_command_reply(&mut self, reply: &Heartbeat) {
        self.direct_commands.record_reply();
        self.agent.set_needs_probe(false);
        // A higher token shows that this owner is fenced: another wake-up would be refused, too.
        if reply.fencing_token <= self.fencing_token() {
            self.wake_ups.record_reply(reply);
        }
    }

    /// Records that a direct command was not answered. It may still arrive, even minutes late, so
    /// the fencing token is raised.
    pub fn record_direct_command_lost(&mut self) {
        self.direct_commands.record_completed();
        self.fencing.fence_delayed_commands();
    }

    /// Records that a direct command is known not to have been sent and may be retried from
    /// `retry_at` on.
    pub fn record_direct_command_not_sent(&mut self, retry_at: Micros) {
        self.direct_commands.record_not_sent(retry_at);
        self.wake_ups.record_not_sent();
        self.agent.set_needs_probe(true);
    }

    /// Removes and returns the attempts whose launch no message contained, so that their tasks can
    /// start on other machines at once.
    pub fn withdraw_unsent_launches(&mut self) -> Vec<AttemptKey> {
        self.attempts
            .extract_if(.., |_, attempt| attempt.is_launch_unsent())
            .map(|(key, _)| key)
            .collect()
    }

    /// Abandons the selected attempts that no heartbeat has shown, and raises the fencing token if
    /// there are any.
    fn abandon_launching(&mut self, selects: impl Fn(&AttemptKey) -> bool) {
        let mut abandoned = self
            .attempts
            .iter_mut()
            .filter(|(key, attempt)| attempt.is_launch_pending() && selects(key))
            .peekable();
        if abandoned.peek().is_none() {
            return;
        }
        let token = self.fencing.raise();
        for (_, attempt) in abandoned {
            attempt.abandon(token);
        }
    }

    /// Stops the selected attempts. Those that no heartbeat has shown are abandoned at once; the
    /// others are stopped within a grace period in seconds.
    pub fn stop(&mut self, grace_period_s: f64, selects: impl Fn(&AttemptKey) -> bool) {
        self.abandon_launching(&selects);
        for (key, attempt) in &mut self.attempts {
            if !attempt.has_exited() && selects(key) {
                attempt.request_stop(grace_period_s);
            }
        }
    }

    /// Returns the commands of a response to a heartbeat, and marks them as sent. Returns none while
    /// the machine is unconfirmed.
    pub fn response_commands(&mut self) -> Vec<WorkerCommand> {
        if self.is_unconfirmed() {
            return Vec::new();
        }
        let mut commands: Vec<WorkerCommand> = self.wake_ups.reaps().collect();
        for (key, attempt) in &mut self.attempts {
            let Some(command) = attempt.command(key) else {
                continue;
            };
            commands.push(command);
            if attempt.phase != AttemptPhase::Saving {
                attempt.unacknowledged_sends += 1;
            }
        }
        // Launches come last, so that the other commands free capacity for them first.
        commands.sort_by_key(WorkerCommand::is_launch);
        commands
    }

    /// Returns the commands of a direct command, and marks them as sent: the stops, and a wake-up if
    /// launches wait for the next heartbeat. Returns none while the machine is unconfirmed.
    ///
    /// A direct command contains no launches, because a copy of it may arrive at any later time and
    /// would be carried out by a restarted worker. It contains no reaps, because an attempt that the
    /// reply still shows proves that the worker has not restarted.
    pub fn direct_commands(&mut self, now: Micros) -> Vec<WorkerCommand> {
        if self.is_unconfirmed() {
            return Vec::new();
        }
        let attempts = self.attempts.iter_mut();
        let mut commands: Vec<WorkerCommand> = attempts
            .filter_map(|(key, attempt)| attempt.stop_command(key))
            .collect();
        commands.extend(self.take_wake_up(now));
        commands
    }

    /// Returns the command that makes the worker send a heartbeat at once; `None` if no launch
    /// waits for one, or if one is expected anyway.
    pub(super) fn take_wake_up(&mut self, now: Micros) -> Option<WorkerCommand> {
        self.needs_wake_up(now).then(|| self.wake_ups.send(now))
    }

    /// Whether a launch waits for a heartbeat that is not expected soon.
    fn needs_wake_up(&self, now: Micros) -> bool {
        !self.wake_ups.is_heartbeat_expected(now) && self.has_unsent_launch()
    }

    /// Whether a launch that no message has contained yet waits for the machine's next heartbeat.
    pub fn has_unsent_launch(&self) -> bool {
        self.attempts.values().any(Attempt::is_launch_unsent)
    }

    /// Whether there is a probe, a command or a wake-up to send before the next heartbeat.
    pub fn needs_direct_command(&self, now: Micros) -> bool {
        self.needs_probe()
            || self.attempts.values().any(Attempt::has_unsent_stop)
            || self.needs_wake_up(now)
    }
}

impl Attempt {
    /// Returns the command that the worker is to carry out for this attempt now, and marks a stop as
    /// sent. Returns `None` if there is none.
    fn command(&mut self, key: &AttemptKey) -> Option<WorkerCommand> {
        let (task, attempt) = (key.task.to_string(), key.attempt);
        match self.phase {
            AttemptPhase::Launching if self.is_abandoned() => None,
            AttemptPhase::Launching => Some(WorkerCommand::Launch { task, attempt }),
            AttemptPhase::Exited => self
                .may_be_reaped
                .then_some(WorkerCommand::Reap { task, attempt }),
            _ => self.stop_command(key),
        }
    }

    /// Returns the command that stops this attempt, and marks it as sent. Returns `None` if the
    /// attempt is not to be stopped, or if no heartbeat has shown it, or if it has ended.
    fn stop_command(&mut self, key: &AttemptKey) -> Option<WorkerCommand> {
        if !self.is_shown() || self.has_exited() {
            return None;
        }
        let grace_period_s = self.send_stop()?;
        Some(WorkerCommand::Stop {
            task: key.task.to_string(),
            attempt: key.attempt,
            grace_period_s,
        })
    }
}

#[cfg(test)]
mod tests;
