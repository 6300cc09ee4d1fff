//! The simulated clock and the step loop.
//!
//! In each step, first every controller and then every worker acts. At the end of each step
//! all invariants are checked.

use super::worker::ExitCause;
use super::{Simulation, secs};
use crate::clock::Micros;
use crate::controller::messages::Input;
use crate::ids::TaskId;

/// Length of a simulation step.
const STEP: Micros = Micros::from_millis(100);
/// Time in seconds between two heartbeats of a worker.
const HEARTBEAT_INTERVAL_S: f64 = 2.0;
/// Maximum time in seconds until a worker reports a task that has exited.
const EXIT_HEARTBEAT_DELAY_S: f64 = 0.3;
/// Run time in seconds of a task of a failing job.
const FAILING_TASK_DURATION_S: f64 = 1.0;

impl Simulation {
    /// Advances the simulated clock in steps of 100 ms.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + secs(seconds);
        while self.now < until {
            self.step();
        }
    }

    /// Advances the simulated clock until a condition holds. Panics after `timeout_s` seconds.
    pub fn advance_until(&mut self, timeout_s: f64, holds: impl Fn(&Simulation) -> bool) {
        let until = self.now + secs(timeout_s);
        while !holds(self) {
            assert!(
                self.now < until,
                "condition did not hold within {timeout_s} s; zone records: {:?}",
                self.zone_records()
            );
            self.advance(0.1);
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.store.expire_leases(self.now);
        for index in 0..self.controllers.len() {
            let controller = &self.controllers[index];
            if !controller.is_running() {
                continue;
            }
            if controller.reaches_store() && !self.store.is_down {
                self.deliver_watch_events(index);
            }
            self.handle_input(index, Input::Tick);
        }
        for index in 0..self.workers.len() {
            self.step_worker(index);
            if self.now >= self.workers[index].next_heartbeat_at {
                self.workers[index].last_heartbeat_at = self.now;
                self.workers[index].next_heartbeat_at = self.now + secs(HEARTBEAT_INTERVAL_S);
                self.send_heartbeat(index);
            }
        }
        self.check_invariants();
    }

    /// Advances a worker independently of any message: its lease expires and its tasks exit.
    fn step_worker(&mut self, index: usize) {
        let lease = secs(self.worker_lease_s());
        let (now, failing_jobs) = (self.now, &self.users.failing_jobs);
        let worker = &mut self.workers[index];
        if worker.is_paused {
            return;
        }
        worker.expire_lease(now, lease);
        worker.handle_queued_commands(now);
        let Some(task_duration) = self.task_duration else {
            return;
        };
        let tasks = &mut worker.tasks;
        worker
            .started_at
            .retain(|task, _| tasks.get(task).is_some_and(|attempt| attempt.is_running()));
        for (task, attempt) in tasks.iter_mut().filter(|(_, attempt)| attempt.is_running()) {
            let started_at = *worker.started_at.entry(task.clone()).or_insert(now);
            let task = TaskId::parse(task).expect("a task");
            let (duration, cause) = if failing_jobs.contains(&task.job) {
                (secs(FAILING_TASK_DURATION_S), ExitCause::Error)
            } else {
                (task_duration, ExitCause::Done)
            };
            if now.since(started_at) >= duration {
                attempt.exit(cause);
                worker.next_heartbeat_at = worker
                    .next_heartbeat_at
                    .min(now + secs(EXIT_HEARTBEAT_DELAY_S));
            }
        }
    }

    /// Returns the indices of the workers that are running a task.
    pub fn workers_running(&self, task: &str) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|index| self.workers[*index].is_running(task))
            .collect()
    }

    /// Returns the number of running tasks.
    pub fn running_count(&self) -> usize {
        self.running_count_of("")
    }

    /// Returns the number of running tasks whose identifier begins with a prefix.
    pub fn running_count_of(&self, prefix: &str) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.running_tasks(prefix).count())
            .sum()
    }

    /// Makes a task exit successfully on every worker that has it.
    pub fn finish(&mut self, task: &str) {
        for worker in &mut self.workers {
            if let Some(attempt) = worker.tasks.get_mut(task) {
                attempt.exit(ExitCause::Done);
            }
        }
    }

    /// Makes all running tasks of a worker exit.
    pub fn exit_all_on(&mut self, worker: usize, cause: ExitCause) {
        let attempts = self.workers[worker].tasks.values_mut();
        for attempt in attempts.filter(|attempt| attempt.is_running()) {
            attempt.exit(cause);
        }
    }

    /// Makes all running tasks exit successfully.
    pub fn finish_all(&mut self) {
        self.exit_all_of("", ExitCause::Done);
    }

    /// Makes all running tasks exit whose identifier begins with a prefix.
    pub fn exit_all_of(&mut self, prefix: &str, cause: ExitCause) {
        let tasks = self
            .workers
            .iter_mut()
            .flat_map(|worker| worker.tasks.iter_mut());
        for (_, attempt) in
            tasks.filter(|(task, attempt)| task.starts_with(prefix) && attempt.is_running())
        {
            attempt.exit(cause);
        }
    }
}
