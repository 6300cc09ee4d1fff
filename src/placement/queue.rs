//! Queues of waiting jobs, one for each team. A queue is sorted with the most urgent job last,
//! where a pass takes jobs from.

use super::{CandidateMachines, SchedulingSnapshot, is_launchable, is_starved};
use crate::fairness::Resources;
use crate::ids::JobId;
use crate::jobs::{Job, JobDesc, allows_machine_type};
use crate::zones::ZoneEvacuation;
use std::cell::LazyCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Which machines a job allows, whatever room its tasks need.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineSelector {
    /// Allowed machine types; `None`: any type.
    pub(super) machine_types: Option<Vec<String>>,
    /// Only allowed zone; `None`: any zone.
    zone: Option<String>,
    /// Whether spot machines are allowed.
    spot: bool,
}

impl MachineSelector {
    fn of(desc: &JobDesc) -> Self {
        MachineSelector {
            machine_types: desc.machine_types.clone(),
            zone: desc.zone.clone(),
            spot: desc.spot,
        }
    }

    /// Whether a machine of this type and zone, spot or not, is allowed.
    pub(super) fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|allowed| allowed == zone)
            && allows_machine_type(&self.machine_types, machine_type)
    }
}

/// A job in a team's queue, with the values that usually suffice to find that it fits on no
/// machine.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    /// Id of the job.
    pub(super) id: JobId,
    /// Resources that each of its tasks requests.
    pub(super) request: Resources,
    /// Index in [`Queues::selectors`] of the machines that it allows.
    pub(super) selector: usize,
    /// Whether the job is starved (see [`is_starved`]) and a machine of the partition suits it. Other
    /// jobs of its team must not take the part of the team's limit that it waits for.
    pub(super) reserves_limit: bool,
}

/// The queues of all teams.
#[derive(Debug, Default)]
pub struct Queues {
    /// Queue of each team, by the team's index. The last job of a queue is served first.
    pub(super) by_team: BTreeMap<usize, Vec<QueuedJob>>,
    /// The different selectors of the queued jobs.
    pub(super) selectors: Vec<MachineSelector>,
}

impl Queues {
    /// Whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.by_team.is_empty()
    }
}

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
    let mut selectors = SelectorIndex::default();
    // Needed only if a job is starved.
    let machines = LazyCell::new(|| CandidateMachines::of_partition(snapshot));
    let is_suited = |desc: &JobDesc| machines.suit(desc);
    let by_team = jobs_by_team
        .into_iter()
        .map(|(team, jobs)| (team, team_queue(snapshot, &is_suited, jobs, &mut selectors)))
        .collect();
    Queues {
        by_team,
        selectors: selectors.selectors,
    }
}

/// Numbers the different selectors of jobs.
#[derive(Default)]
struct SelectorIndex {
    selectors: Vec<MachineSelector>,
    indexes: BTreeMap<MachineSelector, usize>,
}

impl SelectorIndex {
    fn index_of(&mut self, desc: &JobDesc) -> usize {
        let selector = MachineSelector::of(desc);
        let next = self.selectors.len();
        let index = *self.indexes.entry(selector.clone()).or_insert(next);
        if index == next {
            self.selectors.push(selector);
        }
        index
    }
}

fn team_queue(
    snapshot: &SchedulingSnapshot<'_>,
    is_suited: &impl Fn(&JobDesc) -> bool,
    mut jobs: Vec<(&JobId, &Job)>,
    selectors: &mut SelectorIndex,
) -> Vec<QueuedJob> {
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
    let mut queued = |(id, job): (&JobId, &Job)| QueuedJob {
        id: id.clone(),
        request: job.desc.request(),
        selector: selectors.index_of(&job.desc),
        reserves_limit: is_starved(job, snapshot.wall_clock) && is_suited(&job.desc),
    };
    jobs.into_iter().map(&mut queued).collect()
}
