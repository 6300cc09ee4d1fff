//! Which job comes first inside a team: its priority, its deadline, and the order among
//! jobs of one rank.

use super::{Job, Priority};
use crate::clock::Micros;
use std::cmp::Reverse;

/// The order among jobs of one rank, the most urgent first. Jobs count and not tasks, so
/// of two that can't both be served in time the one with less work left is the cheaper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It can still keep its deadline: the least slack times the least work left.
    Due(u64),
    /// Its class has an objective for starting: the oldest.
    ToStart(Micros),
    /// Neither: the least work left for the time that it has waited.
    Background(u64),
    /// Its deadline is lost.
    Late(u64),
}

/// Added to a job's slack, so that work counts where there is none left.
const LEAST_PRESSING_S: f64 = 10.0;
/// Added to the time that a job has waited, so that work counts from the start.
const LEAST_WAITED_S: f64 = 1.0;
/// A deadline missed by so much, by the owner's estimate, is lost.
const MOST_LATE_US: i64 = 2_000_000;

impl Job {
    /// Its priority: the highest of its own and of all that need it.
    pub fn rank(&self) -> Priority {
        let inherited = self.inherited.map_or(self.desc.priority, |i| i.rank);
        inherited.max(self.desc.priority)
    }

    /// The time of day by which it must be done, for its own deadline and for those of the
    /// jobs that need it.
    pub fn due(&self) -> Option<Micros> {
        let own = self
            .desc
            .deadline_s
            .map(|due| self.accepted_at + Micros::from_secs(due));
        let inherited = self.inherited.and_then(|i| i.due);
        own.into_iter().chain(inherited).min()
    }

    /// Its place among the jobs of one rank.
    pub fn urgency(&self, wall_clock: Micros) -> Urgency {
        if self.due().is_none() {
            return match self.start_latency_objective {
                Some(_) => Urgency::ToStart(self.eligible_since),
                None => Urgency::Background(self.work_per_wait(wall_clock)),
            };
        }
        let slack = self.slack(wall_clock);
        let pressing = slack.max(0) as f64 / 1e6 + LEAST_PRESSING_S;
        let order = (pressing * self.work_left() / self.choice.weight) as u64;
        if slack < -MOST_LATE_US {
            Urgency::Late(order)
        } else {
            Urgency::Due(order)
        }
    }

    /// Its turn in its team, unless it starves: the most urgent job has the greatest.
    pub fn turn(&self, wall_clock: Micros) -> (Priority, Reverse<(Urgency, Micros)>) {
        (
            self.rank(),
            Reverse((self.urgency(wall_clock), self.accepted_at)),
        )
    }

    /// Core-seconds that its tasks still take, as its owner estimates.
    pub(super) fn work_left(&self) -> f64 {
        let tasks = f64::from(self.desc.tasks - self.done.len());
        tasks * self.desc.cores.max(0.1) * self.desc.estimated_run_time_s.max(0.1)
    }

    /// Core-seconds left for each second that it has waited. Guards against an array of
    /// tens of thousands of tasks before which hundreds of small jobs wait.
    pub(super) fn work_per_wait(&self, wall_clock: Micros) -> u64 {
        let waited = wall_clock.since(self.eligible_since).as_secs() + LEAST_WAITED_S;
        (1e3 * self.work_left() / waited / self.choice.weight) as u64
    }

    /// Microseconds until it is due, less what its tasks still take; jobs
    /// without a deadline come after those with one.
    pub fn slack(&self, wall_clock: Micros) -> i64 {
        match self.due() {
            Some(due) => {
                due.0 as i64
                    - wall_clock.0 as i64
                    - Micros::from_secs(self.desc.estimated_run_time_s).0 as i64
            }
            None => i64::MAX / 2,
        }
    }
}
