//! The clock and the step loop: in each step every controller, then every worker acts, and
//! the invariants are checked.

use super::worker::ExitCause;
use super::{Simulation, secs};
use crate::clock::Micros;
use crate::controller::messages::Input;
use crate::ids::TaskId;

/// The length of a step.
const STEP: Micros = Micros::from_millis(100);
/// Seconds between two heartbeats of a worker.
const HEARTBEAT_INTERVAL_S: f64 = 2.0;
/// Seconds until a worker reports a task that has exited.
const EXIT_HEARTBEAT_DELAY_S: f64 = 0.3;
/// Seconds that a task with a mistake runs.
const FAILING_TASK_DURATION_S: f64 = 1.0;

impl Simulation {
    /// Lets time pass in steps of 100 ms.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + secs(seconds);
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until something holds, `timeout_s` seconds at most.
    pub fn advance_until(&mut self, timeout_s: f64, holds: impl Fn(&Simulation) -> bool) {
        let until = self.now + secs(timeout_s);
        while !holds(self) {
            assert!(
                self.now < until,
                "not within {timeout_s} s: {:?}",
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
                self.workers[index].next_heartbeat_at = self.now + secs(HEARTBEAT_INTERVAL_S);
                self.send_heartbeat(index);
            }
        }
        self.check_invariants();
    }

    /// What happens on a machine by itself: its lease expires, its tasks exit.
    fn step_worker(&mut self, index: usize) {
        let lease = secs(self.worker_lease_s());
        let (now, failing_jobs) = (self.now, &self.users.failing_jobs);
        let worker = &mut self.workers[index];
        if worker.is_paused {
            return;
        }
        worker.expire_lease(now, lease);
        worker.handle_queued_commands();
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

    /// The workers that run a task now.
    pub fn workers_running(&self, task: &str) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|index| self.workers[*index].is_running(task))
            .collect()
    }

    /// All tasks that run now.
    pub fn running_count(&self) -> usize {
        self.running_count_of("")
    }

    /// The tasks that run now and whose identifier begins with a prefix.
    pub fn running_count_of(&self, prefix: &str) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.running_tasks(prefix).count())
            .sum()
    }

    /// A task succeeds, wherever it runs.
    pub fn finish(&mut self, task: &str) {
        for worker in &mut self.workers {
            if let Some(attempt) = worker.tasks.get_mut(task) {
                attempt.exit(ExitCause::Done);
            }
        }
    }

    /// All tasks that run succeed.
    pub fn finish_all(&mut self) {
        self.exit_all_of("", ExitCause::Done);
    }

    /// All tasks exit that run and whose identifier begins with a prefix.
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
