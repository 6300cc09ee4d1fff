//! The commands that are sent to a machine's worker, and the consequences of direct commands that
//! are lost or can't be sent.

use super::{Attempt, AttemptKey, AttemptPhase, Machine, WorkerCommand};
use crate::clock::Micros;

/// The route on which commands are sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// The response to a heartbeat. The state that the next heartbeat shows acknowledges it.
    Response,
    /// A direct command.
    Direct,
}

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
    pub fn record_direct_command_reply(&mut self) {
        self.direct_commands.record_reply();
        self.agent.set_needs_probe(false);
    }

    /// Records that a direct command was not answered. It may still arrive, even minutes late, so
    /// the fencing token is raised. The attempts that it launches may have started at a worker that
    /// restarted since the last response, so that their lease started after it.
    pub fn record_direct_command_lost(&mut self, now: Micros) {
        if self.direct_commands.launches_attempts() {
            self.liveness.record_possible_lease_start(now);
        }
        self.direct_commands.record_completed();
        self.fencing.fence_delayed_commands();
    }

    /// Records that a direct command is known not to have been sent and may be retried from
    /// `retry_at` on. Removes and returns the attempts whose launch no other message contained,
    /// so that their tasks can start on other machines.
    pub fn record_direct_command_not_sent(&mut self, retry_at: Micros) -> Vec<AttemptKey> {
        self.direct_commands.record_not_sent(retry_at);
        self.agent.set_needs_probe(true);
        // A launch in an earlier direct command that may still arrive must not be given up.
        if self.fencing.has_delayed_commands() {
            return Vec::new();
        }
        let is_unsent = |attempt: &mut Attempt| {
            attempt.is_launch_pending()
                && attempt.unacknowledged_sends == 0
                && attempt.is_launch_sent
        };
        self.attempts
            .extract_if(.., |_, attempt| is_unsent(attempt))
            .map(|(key, _)| key)
            .collect()
    }

    /// Marks all launches that no heartbeat has shown to be sent again.
    pub fn resend_launches(&mut self) {
        for attempt in self.attempts.values_mut() {
            if attempt.phase == AttemptPhase::Launching {
                attempt.is_launch_sent = false;
            }
        }
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

    /// Returns the commands that the worker is to carry out now, and marks them as sent. Returns
    /// none while the machine is unconfirmed.
    pub fn commands(&mut self, route: CommandRoute) -> Vec<WorkerCommand> {
        if self.is_unconfirmed() {
            return Vec::new();
        }
        // A worker that has reaped an attempt has forgotten it, so a delayed launch would run the
        // attempt again. Nothing is reaped while a delayed launch may still arrive.
        let may_reap = self.has_no_command_in_transit();
        if may_reap {
            self.fence_launches_of_reaped_attempts();
        }
        let token = self.fencing_token();
        let mut commands = Vec::new();
        for (key, attempt) in &mut self.attempts {
            let Some(command) = attempt.command(key, may_reap) else {
                continue;
            };
            if route == CommandRoute::Direct && command.is_launch() {
                attempt.record_direct_launch(token);
            }
            commands.push(command);
            if route == CommandRoute::Response && attempt.phase != AttemptPhase::Saving {
                attempt.unacknowledged_sends += 1;
            }
        }
        // Launches come last, so that the other commands free capacity for them first.
        commands.sort_by_key(WorkerCommand::is_launch);
        if route == CommandRoute::Direct && commands.last().is_some_and(WorkerCommand::is_launch) {
            self.direct_commands.record_launches();
        }
        commands
    }

    /// Raises the token if a direct command under the present token launched an attempt that is to
    /// be reaped now. The message that makes the worker forget the attempt thus also makes it drop
    /// all copies of the launch.
    fn fence_launches_of_reaped_attempts(&mut self) {
        let token = self.fencing_token();
        let is_unfenced =
            |attempt: &Attempt| attempt.is_reapable() && !attempt.is_launch_fenced_by(token);
        if self.attempts.values().any(is_unfenced) {
            self.fencing.raise();
        }
    }

    /// Whether there is a probe or a command to send before the next heartbeat.
    pub fn needs_direct_command(&self) -> bool {
        self.needs_probe() || self.attempts.values().any(Attempt::has_unsent_command)
    }
}

impl Attempt {
    /// Returns the command that the worker is to carry out for this attempt now, and marks it as
    /// sent. Returns `None` if there is none.
    fn command(&mut self, key: &AttemptKey, may_reap: bool) -> Option<WorkerCommand> {
        let (task, attempt) = (key.task.to_string(), key.attempt);
        match self.phase {
            AttemptPhase::Launching if self.is_abandoned() => None,
            AttemptPhase::Launching => {
                self.is_launch_sent = true;
                Some(WorkerCommand::Launch { task, attempt })
            }
            AttemptPhase::Exited => {
                (self.may_be_reaped && may_reap).then_some(WorkerCommand::Reap { task, attempt })
            }
            _ => {
                let grace_period_s = self.send_stop()?;
                Some(WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_period_s,
                })
            }
        }
    }
}

#[cfg(test)]
mod tests;
