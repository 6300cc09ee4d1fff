//! Which job comes first inside a team: its priority, its deadline, and the order among
//! jobs of one priority.

use super::{Job, Priority};
use crate::clock::Micros;
use std::cmp::Reverse;

/// The order among jobs of one priority, the most urgent first. Jobs count and not tasks, so
/// of two that can't both be served in time the one with less work left is the cheaper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It can still keep its deadline: the least slack times the least work left.
    Due(u64),
    /// Its class has a start-latency objective: the oldest.
    ToStart(Micros),
    /// Neither: the least work left for the time that it has waited.
    Background(u64),
    /// Its deadline is lost.
    Late(u64),
}

/// A job's place in its team; the job that is to be served first has the greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingOrder {
    priority: Priority,
    urgency: Reverse<Urgency>,
    accepted_at: Reverse<Micros>,
}

/// Added to a job's slack, so that work counts where there is none left.
const MIN_SLACK_S: f64 = 10.0;
/// Added to the time that a job has waited, so that work counts from the start.
const MIN_WAIT_S: f64 = 1.0;
/// A deadline missed by so much, by the owner's estimate, is lost.
const MAX_LATENESS_US: i64 = 2_000_000;
/// A task counts as work even if it takes fewer cores than this.
const MIN_TASK_CORES: f64 = 0.1;
/// A task counts as work even if it is estimated to take less time than this.
const MIN_TASK_RUN_TIME_S: f64 = 0.1;
/// The slack of a job without a deadline: beyond that of every other job.
const UNLIMITED_SLACK_US: i64 = i64::MAX / 2;

impl Job {
    /// The highest priority of its own and of all jobs that depend on it.
    pub fn effective_priority(&self) -> Priority {
        let inherited = self.dependency_state.inherited();
        inherited.map_or(self.desc.priority, |inherited| {
            inherited.priority.max(self.desc.priority)
        })
    }

    /// The wall-clock time by which it must be done, for its own deadline and for those of
    /// the jobs that depend on it.
    pub fn effective_deadline(&self) -> Option<Micros> {
        let own = self
            .desc
            .deadline_s
            .map(|deadline_s| self.accepted_at + Micros::from_secs(deadline_s));
        let inherited = self.dependency_state.inherited();
        let inherited = inherited.and_then(|inherited| inherited.deadline);
        own.into_iter().chain(inherited).min()
    }

    /// Its place among the jobs of one priority.
    pub fn urgency(&self, wall_clock: Micros) -> Urgency {
        if self.effective_deadline().is_none() {
            return match self.start_latency_objective {
                Some(_) => Urgency::ToStart(self.eligible_since()),
                None => Urgency::Background(self.work_per_wait(wall_clock)),
            };
        }
        let slack_us = self.slack_us(wall_clock);
        let padded_slack_s = slack_us.max(0) as f64 / 1e6 + MIN_SLACK_S;
        let order = (padded_slack_s * self.work_left() / self.policy_choice.weight) as u64;
        if slack_us < -MAX_LATENESS_US {
            Urgency::Late(order)
        } else {
            Urgency::Due(order)
        }
    }

    /// Its place in its team, unless it starves.
    pub fn scheduling_order(&self, wall_clock: Micros) -> SchedulingOrder {
        SchedulingOrder {
            priority: self.effective_priority(),
            urgency: Reverse(self.urgency(wall_clock)),
            accepted_at: Reverse(self.accepted_at),
        }
    }

    /// Core-seconds that its tasks still take, as its owner estimates.
    fn work_left(&self) -> f64 {
        let tasks = f64::from(self.tasks.unfinished_count());
        tasks
            * self.desc.cores.max(MIN_TASK_CORES)
            * self.desc.estimated_run_time_s.max(MIN_TASK_RUN_TIME_S)
    }

    /// Core-milliseconds left for each second that it has waited. Guards against an array
    /// of tens of thousands of tasks before which hundreds of small jobs wait.
    fn work_per_wait(&self, wall_clock: Micros) -> u64 {
        let waited_s = wall_clock.since(self.eligible_since()).as_secs() + MIN_WAIT_S;
        (1e3 * self.work_left() / waited_s / self.policy_choice.weight) as u64
    }

    /// Microseconds until its deadline, less what a task still takes; negative: the deadline
    /// will be missed. Jobs without a deadline come after those with one.
    pub fn slack_us(&self, wall_clock: Micros) -> i64 {
        match self.effective_deadline() {
            Some(deadline) => {
                deadline.0 as i64
                    - wall_clock.0 as i64
                    - Micros::from_secs(self.desc.estimated_run_time_s).0 as i64
            }
            None => UNLIMITED_SLACK_US,
        }
    }
}
