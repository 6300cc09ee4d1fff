//! The order in which the jobs of a team are served: by priority, then by urgency, then by the
//! time at which they were accepted.

use super::{Job, Priority};
use crate::clock::Micros;
use std::cmp::Reverse;

/// The urgency of a job among jobs of one priority. The lowest value is the most urgent.
///
/// The aim is to serve as many jobs as possible in time, no matter how many tasks they have. Of
/// two jobs that can't both be served in time, the one with less remaining work costs less and is
/// therefore preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The job can still meet its deadline. The value is the product of its slack and its remaining
    /// work, divided by its weight.
    Due(u64),
    /// The job has no deadline, but its class has a start-latency objective. The value is the
    /// wall-clock time from which its waiting time is measured, so the oldest job comes first.
    StartLatency(Micros),
    /// The job has neither. The value is its remaining work per second of waiting, divided by its
    /// weight.
    Background(u64),
    /// The job has missed its deadline. The value is computed as for [`Urgency::Due`].
    Late(u64),
}

/// The position of a job in the order of its team. The job with the greatest value is served
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingOrder {
    priority: Priority,
    urgency: Reverse<Urgency>,
    accepted_at: Reverse<Micros>,
}

/// Seconds added to a job's slack, so that the remaining work decides the order of jobs without
/// slack.
const SLACK_PADDING_S: f64 = 10.0;
/// Seconds added to a job's waiting time, so that the remaining work decides the order of jobs that
/// have just arrived.
const WAIT_PADDING_S: f64 = 1.0;
/// Lateness in microseconds, by the user's estimate of the run time, above which a deadline counts
/// as missed.
const MAX_LATENESS_US: i64 = 2_000_000;
/// Minimum number of cores that is assumed for a task, so that a task with fewer cores still counts
/// as work.
const MIN_TASK_CORES: f64 = 0.1;
/// Minimum run time in seconds that is assumed for a task, so that a task with a shorter estimate
/// still counts as work.
const MIN_TASK_RUN_TIME_S: f64 = 0.1;
/// Slack in microseconds of a job without a deadline: greater than that of any job with one.
const UNLIMITED_SLACK_US: i64 = i64::MAX / 2;

impl Job {
    /// Returns the highest priority among the job and all jobs that depend on it.
    pub fn effective_priority(&self) -> Priority {
        let inherited = self.dependency_state.inherited();
        inherited.map_or(self.desc.priority, |inherited| {
            inherited.priority.max(self.desc.priority)
        })
    }

    /// Returns the wall-clock time by which the job must be done to meet its own deadline and those
    /// of the jobs that depend on it; `None` if there is no such deadline.
    pub fn effective_deadline(&self) -> Option<Micros> {
        let own = self
            .desc
            .deadline_s
            .map(|deadline_s| self.accepted_at + Micros::from_secs(deadline_s));
        let inherited = self.dependency_state.inherited();
        let inherited = inherited.and_then(|inherited| inherited.deadline);
        own.into_iter().chain(inherited).min()
    }

    /// Returns the job's urgency among jobs of the same priority.
    pub fn urgency(&self, wall_clock: Micros) -> Urgency {
        if self.effective_deadline().is_none() {
            return match self.start_latency_objective {
                Some(_) => Urgency::StartLatency(self.eligible_since()),
                None => Urgency::Background(self.work_per_wait(wall_clock)),
            };
        }
        let slack_us = self.slack_us(wall_clock);
        let padded_slack_s = slack_us.max(0) as f64 / 1e6 + SLACK_PADDING_S;
        let order = (padded_slack_s * self.remaining_work() / self.policy_choice.weight) as u64;
        if slack_us < -MAX_LATENESS_US {
            Urgency::Late(order)
        } else {
            Urgency::Due(order)
        }
    }

    /// Returns the job's position in the order of its team. The placement module serves starved
    /// jobs before this order.
    pub fn scheduling_order(&self, wall_clock: Micros) -> SchedulingOrder {
        SchedulingOrder {
            priority: self.effective_priority(),
            urgency: Reverse(self.urgency(wall_clock)),
            accepted_at: Reverse(self.accepted_at),
        }
    }

    /// Returns the core-seconds that the unfinished tasks still need, by the user's estimate of the
    /// run time.
    fn remaining_work(&self) -> f64 {
        let tasks = f64::from(self.tasks.unfinished_count());
        tasks
            * self.desc.cores.max(MIN_TASK_CORES)
            * self.desc.estimated_run_time_s.max(MIN_TASK_RUN_TIME_S)
    }

    /// Returns the remaining work in core-milliseconds per second that the job has waited, divided
    /// by its weight. Guards against hundreds of small jobs that wait behind an array of tens of
    /// thousands of tasks.
    fn work_per_wait(&self, wall_clock: Micros) -> u64 {
        let waited_s = wall_clock.since(self.eligible_since()).as_secs() + WAIT_PADDING_S;
        (1e3 * self.remaining_work() / waited_s / self.policy_choice.weight) as u64
    }

    /// Returns the microseconds until the effective deadline, less the estimated run time of a
    /// task. A negative value means that the deadline will be missed. A job without a deadline has
    /// more slack than any job with one.
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
