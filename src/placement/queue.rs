//! The order of waiting jobs inside each team.

use super::{SchedulingSnapshot, is_launchable, is_starved};
use crate::fairness::Resources;
use crate::ids::JobId;
use crate::jobs::Job;
use crate::zones::ZoneEvacuation;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A job in a team's queue, with what mostly suffices to see that it fits nowhere.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    /// The job.
    pub(super) id: JobId,
    /// What a task of it takes.
    pub(super) request: Resources,
    /// It has waited too long.
    pub(super) is_starved: bool,
}

/// Waiting jobs of each team; the next one is the last.
pub type Queues = BTreeMap<usize, Vec<QueuedJob>>;

/// Inside a team: those that starve, then priority, then slack, then age.
pub fn build_queues(snapshot: &SchedulingSnapshot<'_>) -> Queues {
    let mut jobs_by_team: BTreeMap<usize, Vec<(&JobId, &Job)>> = BTreeMap::new();
    for (id, job) in snapshot.jobs {
        if is_launchable(job, snapshot.now, snapshot.recovery) {
            jobs_by_team.entry(job.team).or_default().push((id, job));
        }
    }
    jobs_by_team
        .into_iter()
        .map(|(team, jobs)| (team, team_queue(snapshot, jobs)))
        .collect()
}

fn team_queue(snapshot: &SchedulingSnapshot<'_>, mut jobs: Vec<(&JobId, &Job)>) -> Vec<QueuedJob> {
    jobs.sort_by_cached_key(|(_, job)| {
        let starved_since =
            is_starved(job, snapshot.wall_clock).then_some(Reverse(job.last_start_at));
        (starved_since, job.scheduling_order(snapshot.wall_clock))
    });
    if snapshot
        .zone_evacuation
        .is_some_and(ZoneEvacuation::has_displaced)
    {
        jobs.reverse();
        jobs = snapshot.in_evacuation_order(jobs, |(_, job)| job);
        jobs.reverse();
    }
    let queued = |(id, job): (&JobId, &Job)| QueuedJob {
        id: id.clone(),
        request: job.desc.request(),
        is_starved: is_starved(job, snapshot.wall_clock),
    };
    jobs.into_iter().map(queued).collect()
}
