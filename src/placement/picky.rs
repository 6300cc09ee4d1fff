//! Work that has little choice of machines, and what leaves them to it.
//!
//! A class that fits only some types of machines waits for those, while another
//! that fits more types takes them too, since it is lighter or of a higher rank.
//! As long as the other can well wait, it leaves such machines to the class: room
//! is held for the class on all of them, not on a few.

use super::{Queues, Scene};
use crate::clock::Micros;
use crate::fairness::Res;
use crate::fleet::MachineType;
use crate::jobs::{Job, JobDesc, allows_build};

#[derive(Debug, Default)]
pub struct Picky {
    types: Vec<(String, Res)>,
    /// Of each class that waits: the types that it fits, by their places.
    waiting: Vec<Vec<bool>>,
}

/// The part of the time within which a job should start that it may spend waiting
/// for machines that others can't use.
const PART: f64 = 0.4;
/// The same for a job whose class has no such objective but a deadline: it must
/// have so much slack left.
const SLACK_US: i64 = 20_000_000;
/// How many waiting jobs are looked at.
const MOST: usize = 200;

impl Picky {
    pub fn new(types: &[MachineType]) -> Self {
        Picky {
            types: types
                .iter()
                .map(|t| (t.name.clone(), t.capacity()))
                .collect(),
            waiting: Vec::new(),
        }
    }

    fn fitting(&self, d: &JobDesc) -> Vec<bool> {
        let request = d.request();
        let fits = |(name, capacity): &(String, Res)| {
            request.fits_in(capacity) && allows_build(&d.builds, name)
        };
        self.types.iter().map(fits).collect()
    }

    /// The classes that wait now, of teams that may have more.
    pub fn waiting(&self, scene: &Scene<'_>, queues: &Queues) -> Vec<Vec<bool>> {
        let mut waiting: Vec<Vec<bool>> = Vec::new();
        for (t, queue) in queues {
            let limit = scene.settings.platform.teams[*t].limit();
            for job in queue
                .iter()
                .rev()
                .take(MOST)
                .filter_map(|q| scene.jobs.get(&q.id))
            {
                let mut after = scene.weights.of(*t).used;
                after += job.desc.request();
                let fits = self.fitting(&job.desc);
                if after.fits_in(&limit) && !fits.iter().all(|f| *f) && !waiting.contains(&fits) {
                    waiting.push(fits);
                }
            }
        }
        waiting
    }

    pub fn set_waiting(&mut self, waiting: Vec<Vec<bool>>) {
        self.waiting = waiting;
    }

    /// The types of machines that a job leaves to others for now.
    pub fn leaves(&self, job: &Job, day: Micros) -> Vec<&str> {
        if can_wait(job, day) {
            self.wanted(&job.desc)
        } else {
            Vec::new()
        }
    }

    /// The types of machines that a job fits and that waiting work wants which does
    /// not fit everywhere that the job does.
    fn wanted(&self, d: &JobDesc) -> Vec<&str> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let own = self.fitting(d);
        // To those that fit there and not everywhere that this job does.
        let pickier = |c: &&Vec<bool>| c.iter().zip(&own).any(|(c, own)| *own && !c);
        let mut leaves = Vec::new();
        for class in self.waiting.iter().filter(pickier) {
            for (i, (name, _)) in self.types.iter().enumerate() {
                if class[i] && !leaves.contains(&name.as_str()) {
                    leaves.push(name.as_str());
                }
            }
        }
        leaves
    }
}

fn can_wait(job: &Job, day: Micros) -> bool {
    match (job.starts_within, job.desc.due_s) {
        (Some(within), _) => day.since(job.at) < within.part(PART),
        (None, Some(_)) => job.slack(day) > SLACK_US,
        (None, None) => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Stamp, Term};
    use crate::jobs::tests::{rec, types};

    #[test]
    fn what_has_a_choice_leaves_the_large_machines_to_what_has_none() {
        let mut picky = Picky::new(&types());
        let mut small = Job::new(&rec("j-1", 4, Term(1)), Stamp(1), 0, 64);
        small.starts_within = Some(Micros::from_secs(70.0));
        let soon = Micros::from_secs(5.0);
        assert!(picky.leaves(&small, soon).is_empty(), "nothing waits");
        // 8 cores fit the big machines only.
        picky.waiting = vec![vec![false, true]];
        assert_eq!(picky.leaves(&small, soon), vec!["big"]);
        assert!(
            picky.leaves(&small, Micros::from_secs(40.0)).is_empty(),
            "not for ever"
        );
        small.starts_within = Some(Micros::from_secs(3.0));
        assert!(picky.leaves(&small, soon).is_empty(), "it can't wait");
        // What fits no more than the waiting class does leaves it nothing.
        let mut large = rec("j-2", 4, Term(1));
        large.desc.cores = 8.0;
        let mut large = Job::new(&large, Stamp(1), 0, 64);
        large.starts_within = Some(Micros::from_secs(70.0));
        assert!(picky.leaves(&large, soon).is_empty());
    }
}
