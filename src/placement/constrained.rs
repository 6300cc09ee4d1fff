//! Constrained jobs, which fit only some machine types, and the machine types that other jobs
//! yield to them.
//!
//! While a constrained job waits for its machine types, a job that fits more types could keep
//! taking their machines, because its team has a lower heaviness or because its priority is
//! higher. As long as such a job can wait, it yields: it is placed on none of the machine types
//! that the constrained job fits. This keeps capacity free on all machines of these types, while
//! a hold for a single job keeps it on a few.
//!
//! In this module, a class is the set of constrained jobs that fit the same machine types. It is
//! not the class that a job's description names.

use super::{Queues, SchedulingSnapshot};
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::jobs::{Job, JobDesc, allows_machine_type};

/// The machine types and the classes of constrained jobs that wait for them.
#[derive(Debug, Default)]
pub struct ConstrainedDemand {
    /// Name and capacity of each machine type.
    machine_types: Vec<(String, Resources)>,
    /// For each waiting class, whether it fits each of `machine_types`, in the same order.
    waiting: Vec<Vec<bool>>,
}

/// Fraction of its start latency objective for which a job yields machine types.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Longest time without a start for which a job with a deadline or a start latency objective yields
/// machine types: the constrained job may need more room than becomes free there.
const MAX_YIELD_TIME: Micros = Micros::from_millis(45_000);
/// Slack in microseconds above which a job yields machine types if it has a deadline and no start
/// latency objective.
const MIN_SLACK_US: i64 = 20_000_000;
/// Time since its last start for which a job yields machine types if it has neither a deadline nor
/// a start latency objective.
const MAX_TIME_SINCE_START: Micros = Micros::from_millis(60_000);

impl ConstrainedDemand {
    /// Creates the state for these machine types, without any waiting class.
    pub fn new(machine_types: &[MachineType]) -> Self {
        ConstrainedDemand {
            machine_types: machine_types
                .iter()
                .map(|machine_type| (machine_type.name.clone(), machine_type.capacity()))
                .collect(),
            waiting: Vec::new(),
        }
    }

    /// Returns for each machine type whether a request fits and the type is allowed.
    fn fitting_machine_types(
        &self,
        request: &Resources,
        allowed: &Option<Vec<String>>,
    ) -> Vec<bool> {
        let fits = |(name, capacity): &(String, Resources)| {
            request.fits_in(capacity) && allows_machine_type(allowed, name)
        };
        self.machine_types.iter().map(fits).collect()
    }

    /// Returns the classes of the constrained jobs that wait now and whose team may use the
    /// requested resources within its limit. A class has one flag for each machine type: whether
    /// its jobs fit it.
    pub fn waiting(&self, snapshot: &SchedulingSnapshot<'_>, queues: &Queues) -> Vec<Vec<bool>> {
        let mut waiting: Vec<Vec<bool>> = Vec::new();
        for (team, queue) in &queues.by_team {
            let limit = snapshot.settings.platform.teams[*team].limit();
            for queued in queue {
                let mut after = snapshot.usage.of(*team).used;
                after += queued.request;
                if !after.fits_in(&limit) {
                    continue;
                }
                let allowed = &queues.selectors[queued.selector].machine_types;
                let fits = self.fitting_machine_types(&queued.request, allowed);
                let fits_all_types = fits.iter().all(|fits| *fits);
                if !fits_all_types && !waiting.contains(&fits) {
                    waiting.push(fits);
                }
            }
        }
        waiting
    }

    /// Replaces the waiting classes by the result of [`Self::waiting`].
    pub fn set_waiting(&mut self, waiting: Vec<Vec<bool>>) {
        self.waiting = waiting;
    }

    /// Returns the names of the machine types that a job must not use for now, since it can wait
    /// and they are yielded to constrained jobs.
    pub fn yielded_machine_types(&self, job: &Job, wall_clock: Micros) -> Vec<&str> {
        if can_wait(job, wall_clock) {
            self.types_of_more_constrained(&job.desc)
        } else {
            Vec::new()
        }
    }

    /// Returns the names of all machine types that fit a waiting class which is more constrained
    /// than the job.
    fn types_of_more_constrained(&self, desc: &JobDesc) -> Vec<&str> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let own = self.fitting_machine_types(&desc.request(), &desc.machine_types);
        // A class is more constrained if it does not fit one of the types that the job fits.
        let more_constrained =
            |class: &&Vec<bool>| class.iter().zip(&own).any(|(theirs, own)| *own && !theirs);
        let mut yielded = Vec::new();
        for class in self.waiting.iter().filter(more_constrained) {
            for (type_index, (name, _)) in self.machine_types.iter().enumerate() {
                if class[type_index] && !yielded.contains(&name.as_str()) {
                    yielded.push(name.as_str());
                }
            }
        }
        yielded
    }
}

/// Whether a job can wait longer for a start, and so yields machine types.
fn can_wait(job: &Job, wall_clock: Micros) -> bool {
    // Jobs with a deadline depend on this job, and its waiting time delays them all.
    if job.has_inherited_deadline() {
        return false;
    }
    let waiting_since = job.eligible_since().max(job.last_start_at);
    let may_yield = wall_clock.since(waiting_since) < MAX_YIELD_TIME;
    match (job.start_latency_objective, job.desc.deadline_s) {
        (Some(within), _) => {
            may_yield && wall_clock.since(job.eligible_since()) < within.part(MAX_WAIT_FRACTION)
        }
        (None, Some(_)) => may_yield && job.slack_us(wall_clock) > MIN_SLACK_US,
        // Prevents small background tasks from spreading over machines that constrained jobs
        // need as a whole. As long as tasks of the job start elsewhere, the others can wait.
        (None, None) => wall_clock.since(job.last_start_at) < MAX_TIME_SINCE_START,
    }
}

#[cfg(test)]
mod tests;
