//! Work that has little choice of machines, and what leaves them to it.
//!
//! A class that fits only some types of machines waits for those, while another
//! that fits more types takes them too, since it is lighter or of a higher priority.
//! As long as the other can well wait, it leaves such machines to the class: room
//! is held for the class on all of them, not on a few.

use super::{Queues, SchedulingSnapshot};
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::jobs::{Job, JobDesc, allows_machine_type};

/// Waiting classes that fit only some types of machines.
#[derive(Debug, Default)]
pub struct ConstrainedDemand {
    machine_types: Vec<(String, Resources)>,
    /// Of each class that waits: the types that it fits, by their places.
    waiting: Vec<Vec<bool>>,
}

/// The part of the time within which a job should start that it may spend waiting
/// for machines that others can't use.
const MAX_WAIT_PART: f64 = 0.4;
/// The same for a job whose class has no such objective but a deadline: it must
/// have so much slack left.
const MIN_SLACK_US: i64 = 20_000_000;
/// The same for a job with neither: so long ago a task of it must have started.
const MAX_TIME_SINCE_START: Micros = Micros::from_millis(60_000);
/// How many waiting jobs of each team are considered.
const MAX_JOBS_PER_TEAM: usize = 200;

impl ConstrainedDemand {
    /// With nothing waiting.
    pub fn new(machine_types: &[MachineType]) -> Self {
        ConstrainedDemand {
            machine_types: machine_types
                .iter()
                .map(|machine_type| (machine_type.name.clone(), machine_type.capacity()))
                .collect(),
            waiting: Vec::new(),
        }
    }

    fn fitting(&self, desc: &JobDesc) -> Vec<bool> {
        let request = desc.request();
        let fits = |(name, capacity): &(String, Resources)| {
            request.fits_in(capacity) && allows_machine_type(&desc.machine_types, name)
        };
        self.machine_types.iter().map(fits).collect()
    }

    /// The classes that wait now, of teams that may have more.
    pub fn waiting(&self, snapshot: &SchedulingSnapshot<'_>, queues: &Queues) -> Vec<Vec<bool>> {
        let mut waiting: Vec<Vec<bool>> = Vec::new();
        for (team, queue) in queues {
            let limit = snapshot.settings.platform.teams[*team].limit();
            for job in queue
                .iter()
                .rev()
                .take(MAX_JOBS_PER_TEAM)
                .filter_map(|queued| snapshot.jobs.get(&queued.id))
            {
                let mut after = snapshot.usage.of(*team).used;
                after += job.desc.request();
                let fits = self.fitting(&job.desc);
                let has_choice_of_all = fits.iter().all(|fits| *fits);
                if after.fits_in(&limit) && !has_choice_of_all && !waiting.contains(&fits) {
                    waiting.push(fits);
                }
            }
        }
        waiting
    }

    /// What waits from now on.
    pub fn set_waiting(&mut self, waiting: Vec<Vec<bool>>) {
        self.waiting = waiting;
    }

    /// The types of machines that a job leaves to others for now.
    pub fn leaves(&self, job: &Job, wall_clock: Micros) -> Vec<&str> {
        if can_wait(job, wall_clock) {
            self.wanted(&job.desc)
        } else {
            Vec::new()
        }
    }

    /// The types of machines that a job fits and that waiting work wants which does
    /// not fit everywhere that the job does.
    fn wanted(&self, desc: &JobDesc) -> Vec<&str> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let own = self.fitting(desc);
        // To those that fit there and not everywhere that this job does.
        let more_constrained =
            |class: &&Vec<bool>| class.iter().zip(&own).any(|(theirs, own)| *own && !theirs);
        let mut leaves = Vec::new();
        for class in self.waiting.iter().filter(more_constrained) {
            for (place, (name, _)) in self.machine_types.iter().enumerate() {
                if class[place] && !leaves.contains(&name.as_str()) {
                    leaves.push(name.as_str());
                }
            }
        }
        leaves
    }
}

fn can_wait(job: &Job, wall_clock: Micros) -> bool {
    // Others wait for its end: what it waits, the whole pipeline does.
    if job.has_inherited_deadline() {
        return false;
    }
    match (job.start_latency_objective, job.desc.deadline_s) {
        (Some(within), _) => wall_clock.since(job.eligible_since()) < within.part(MAX_WAIT_PART),
        (None, Some(_)) => job.slack_us(wall_clock) > MIN_SLACK_US,
        // Guards against small background tasks spread over machines of which others need
        // the whole: as long as the job progresses elsewhere, it can wait for the rest.
        (None, None) => wall_clock.since(job.last_start_at) < MAX_TIME_SINCE_START,
    }
}

#[cfg(test)]
mod tests;
