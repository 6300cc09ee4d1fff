//! What a machine's worker is commanded, and what follows when a direct command is lost.

use super::{Attempt, AttemptKey, AttemptPhase, Machine, WorkerCommand};
use crate::clock::Micros;

/// The way by which commands are sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the response to a heartbeat: what the next heartbeat shows acknowledges it.
    Response,
    /// In a direct command.
    Direct,
}

impl Machine {
    /// Whether a direct command is in flight.
    pub fn has_direct_command_in_flight(&self) -> bool {
        self.direct_commands.is_in_flight()
    }

    /// No direct command is sent before this instant.
    pub fn next_direct_command_at(&self) -> Micros {
        self.direct_commands.next_at()
    }

    /// Direct commands in a row that could not be sent.
    pub fn unsent_commands(&self) -> u32 {
        self.direct_commands.unsent()
    }

    /// How many direct commands have carried the token to it after a failover.
    pub fn token_commands(&self) -> u32 {
        self.direct_commands.token_commands()
    }

    /// A direct command is about to be sent, perhaps to carry the token after a failover;
    /// the next one may follow at an instant.
    pub fn record_direct_command_sent(&mut self, carries_token: bool, next_at: Micros) {
        self.direct_commands
            .record_sent(self.agent.position(), carries_token, next_at);
    }

    /// The worker replied to a direct command.
    pub fn record_direct_command_reply(&mut self) {
        self.direct_commands.record_reply();
        self.agent.set_needs_probe(false);
    }

    /// A direct command was not replied to: it may still arrive, minutes late.
    pub fn record_direct_command_lost(&mut self) {
        self.direct_commands.record_completed();
        self.fencing.fence_delayed_commands();
    }

    /// A direct command was surely not sent, and may be tried again at an instant. Launches
    /// that nothing else carried are dropped and returned, so that the tasks can start
    /// elsewhere.
    pub fn record_direct_command_not_sent(&mut self, retry_at: Micros) -> Vec<AttemptKey> {
        self.direct_commands.record_not_sent(retry_at);
        self.agent.set_needs_probe(true);
        // What an earlier direct command may still carry is not among them.
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

    /// Has all launches sent again that no heartbeat has shown.
    pub fn resend_launches(&mut self) {
        for attempt in self.attempts.values_mut() {
            if attempt.phase == AttemptPhase::Launching {
                attempt.is_launch_sent = false;
            }
        }
    }

    /// Abandons the selected attempts that no heartbeat has shown.
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

    /// Stops the selected attempts: those that no heartbeat has shown at once, the others
    /// within a grace period in seconds.
    pub fn stop(&mut self, grace_period_s: f64, selects: impl Fn(&AttemptKey) -> bool) {
        self.abandon_launching(&selects);
        for (key, attempt) in &mut self.attempts {
            if !attempt.has_exited() && selects(key) {
                attempt.request_stop(grace_period_s);
            }
        }
    }

    /// The commands that the worker is to carry out now, which are marked as sent.
    pub fn commands(&mut self, route: CommandRoute) -> Vec<WorkerCommand> {
        if self.is_unconfirmed() {
            return Vec::new();
        }
        // After a reap the worker has forgotten the attempt, so a launch that may still
        // arrive would run it once more: reaping waits until none can.
        let may_reap = self.has_no_command_in_transit();
        let mut commands = Vec::new();
        for (key, attempt) in &mut self.attempts {
            let Some(command) = attempt.command(key, may_reap) else {
                continue;
            };
            commands.push(command);
            if route == CommandRoute::Response && attempt.phase != AttemptPhase::Saving {
                attempt.unacknowledged_sends += 1;
            }
        }
        // Capacity is freed before it is used.
        commands.sort_by_key(|command| matches!(command, WorkerCommand::Launch { .. }));
        commands
    }

    /// Whether anything is to be sent that can't wait for the next heartbeat.
    pub fn needs_direct_command(&self) -> bool {
        self.needs_probe() || self.attempts.values().any(Attempt::has_unsent_command)
    }
}

impl Attempt {
    /// What the worker is to do with it now, which is marked as sent.
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
