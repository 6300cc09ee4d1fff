//! Queues of waiting jobs, one for each team. A queue is sorted with the most urgent job last,
//! where a pass takes jobs from.

use super::{SchedulingSnapshot, is_launchable, is_starved};
use crate::fairness::Resources;
use crate::ids::JobId;
use crate::jobs::Job;
use crate::zones::ZoneEvacuation;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A job in a team's queue, with the values that usually suffice to find that it fits on no
/// machine.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    /// Id of the job.
    pub(super) id: JobId,
    /// Resources that each of its tasks requests.
    pub(super) request: Resources,
    /// Whether the job is starved (see [`is_starved`]).
    pub(super) is_starved: bool,
}

/// Queue of each team, by the team's index. The last job of a queue is served first.
pub type Queues = BTreeMap<usize, Vec<QueuedJob>>;

/// Builds the queue of each team that has a launchable job. Starved jobs come first; all others
/// are ordered by priority, then urgency (deadline slack, start latency objective or remaining
/// work), then age.
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
        // The evacuation order works on jobs with the most urgent one first.
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
