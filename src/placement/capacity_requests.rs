//! Capacity requests: the capacity that a partition's waiting jobs lack beyond its booting
//! machines. The leader uses them to scale out and to assign machines to partitions.

use super::SchedulingSnapshot;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::jobs::{Job, JobDesc, allows_machine_type};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Missing capacity for waiting tasks that have the same requirements.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CapacityRequest {
    /// Resources that each task requests.
    pub request: Resources,
    /// Machine types that are allowed; `None`: any type.
    pub machine_types: Option<Vec<String>>,
    /// Only zone that is allowed; `None`: any zone.
    pub zone: Option<String>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Number of tasks for which capacity is missing.
    pub count: u32,
    /// Run time of a task in seconds, as its owner estimates it.
    pub estimated_run_time_s: f64,
    /// Whether at least one machine has to be scaled out, however little capacity the tasks are
    /// worth: no machine of the partition suits them, or they have waited long for those that do.
    pub needs_machine: bool,
}

impl CapacityRequest {
    /// Whether a machine of this type, zone and capacity, spot or not, can run one of the tasks.
    pub fn fits(&self, machine_type: &str, zone: &str, spot: bool, capacity: &Resources) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|only| only == zone)
            && allows_machine_type(&self.machine_types, machine_type)
            && self.request.fits_in(capacity)
    }

    /// Whether both requests can be merged into one: they differ at most in the number of tasks and
    /// in the estimated run time.
    fn can_merge_with(&self, other: &CapacityRequest) -> bool {
        self.request == other.request
            && self.machine_types == other.machine_types
            && self.zone == other.zone
            && self.spot == other.spot
            && self.needs_machine == other.needs_machine
    }
}

/// Booting machines of the same type and zone that are all spot instances or all ordinary ones.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMachines<'a> {
    /// Capacity of each machine.
    pub capacity: Resources,
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone of the machines.
    pub zone: &'a str,
    /// Whether they are spot instances, which the cloud may reclaim.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Waiting time from which on a job's missing capacity is rounded up to whole tasks.
const LONG_WAIT: Micros = Micros::from_millis(10_000);

/// Waiting time from which on a machine is scaled out for a job even if the partition has machines
/// that suit it: they are in use, and may be for long.
const MAX_WAIT_FOR_SUITABLE_MACHINE: Micros = Micros::from_millis(60_000);

/// Returns the capacity that the partition's waiting jobs lack beyond that of the booting machines
/// in `pending`, the most urgent job first.
///
/// A job whose estimated run time is shorter than `horizon` requests only the fraction
/// `estimated run time / horizon` of its capacity. The scale-out factor of the operators' policy
/// applies to every job. A job that no machine suits, or that has waited for a minute, requests
/// capacity for at least one task, unless the scale-out factor is 0.
pub fn capacity_requests(
    snapshot: &SchedulingSnapshot<'_>,
    pending: &[PendingMachines<'_>],
    horizon: Micros,
) -> Vec<CapacityRequest> {
    let mut planner = Planner::new(snapshot, pending, horizon);
    for job in jobs_in_order(snapshot) {
        planner.add_job(job);
    }
    planner.requests
}

/// Returns the jobs that wait for machines and may scale out, the most urgent first.
fn jobs_in_order<'a>(snapshot: &SchedulingSnapshot<'a>) -> Vec<&'a Job> {
    let waiting = snapshot.jobs.values().filter(|job| job.wants_machines());
    let mut jobs: Vec<&Job> = waiting.collect();
    jobs.sort_by_cached_key(|job| {
        (
            Reverse(job.effective_priority()),
            job.slack_us(snapshot.wall_clock),
        )
    });
    let mut jobs = snapshot.in_evacuation_order(jobs, |job| *job);
    if let Some(evacuation) = snapshot.zone_evacuation {
        jobs.retain(|job| evacuation.may_scale_out_for(&job.desc.id));
    }
    jobs
}

/// Collects the capacity requests of jobs, which are added in order of urgency.
struct Planner<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    horizon: Micros,
    /// Resources that each team may still use within its limit.
    team_headroom: BTreeMap<usize, Resources>,
    /// Booting machines that are not assigned to a job yet.
    pending: Vec<PendingMachines<'s>>,
    /// Fraction of a task that rounding down took from the previous job. It is added to the next
    /// job: otherwise jobs whose amounts are below one task could wait for ever.
    carried_fraction: f64,
    requests: Vec<CapacityRequest>,
}

impl<'s, 'a> Planner<'s, 'a> {
    fn new(
        snapshot: &'s SchedulingSnapshot<'a>,
        pending: &[PendingMachines<'s>],
        horizon: Micros,
    ) -> Self {
        let team_headroom = snapshot.teams.iter().map(|&team| {
            let limit = snapshot.settings.platform.teams[team].limit();
            (team, limit - snapshot.usage.of(team).used)
        });
        Planner {
            snapshot,
            horizon,
            team_headroom: team_headroom.collect(),
            pending: pending.to_vec(),
            carried_fraction: 0.0,
            requests: Vec::new(),
        }
    }

    /// Adds the capacity that one job lacks.
    fn add_job(&mut self, job: &Job) {
        let desc = &job.desc;
        let request = desc.request();
        let startable = self.startable_tasks(job);
        let has_no_suitable_machine = self.has_no_suitable_machine(desc);
        if job.is_failing() && !has_no_suitable_machine {
            // A failing job waits for its back-off, and not for lack of capacity. Machines are
            // scaled out for it only if no machine is suitable.
            return;
        }
        let waited = self.snapshot.wall_clock.since(job.eligible_since());
        let needs_machine = has_no_suitable_machine || waited >= MAX_WAIT_FOR_SUITABLE_MACHINE;
        let scale_out_factor = job.policy_choice().scale_out_factor;
        let exact_tasks = f64::from(startable) * self.fraction_of_horizon(desc) * scale_out_factor
            + self.carried_fraction;
        let mut wanted_tasks = if needs_machine && scale_out_factor > 0.0 {
            exact_tasks.ceil().max(1.0)
        } else if waited >= LONG_WAIT {
            exact_tasks.ceil()
        } else {
            exact_tasks.floor()
        } as u32;
        self.carried_fraction = (exact_tasks - f64::from(wanted_tasks)).max(0.0);
        wanted_tasks = wanted_tasks.min(startable);
        // A job that has waited long for a suitable machine is one that the cloud has no machine for.
        // It must not keep other jobs of its team from getting theirs.
        let is_unavailable = has_no_suitable_machine && waited >= MAX_WAIT_FOR_SUITABLE_MACHINE;
        if let Some(headroom) = self.team_headroom.get_mut(&job.team)
            && !is_unavailable
        {
            *headroom -= request.scale(f64::from(wanted_tasks));
        }
        wanted_tasks -= self.serve_from_pending(desc, wanted_tasks);
        self.add_request(desc, wanted_tasks, needs_machine);
    }

    /// Returns the number of a job's waiting tasks that could start now within its team's limit.
    fn startable_tasks(&self, job: &Job) -> u32 {
        let request = job.desc.request();
        self.team_headroom
            .get(&job.team)
            .map_or(0, |headroom| {
                request.times_in(headroom).min(job.waiting().len())
            })
            .min(job.startable())
    }

    /// Returns the estimated run time of a task as a fraction of the horizon, at most 1. Shorter
    /// tasks need less capacity, since they run one after another in the time that a new machine
    /// takes to boot.
    fn fraction_of_horizon(&self, desc: &JobDesc) -> f64 {
        let estimate = Micros::from_secs(desc.estimated_run_time_s).0 as f64;
        (estimate / self.horizon.0.max(1) as f64).min(1.0)
    }

    /// Whether no active and schedulable machine of the partition suits a task of the job. If so,
    /// no capacity can become free for it without a scale-out.
    fn has_no_suitable_machine(&self, desc: &JobDesc) -> bool {
        let request = desc.request();
        !self.snapshot.machines.values().any(|machine| {
            machine.is_active()
                && machine.is_schedulable()
                && desc.allows(
                    &machine.spec.machine_type,
                    &machine.spec.zone,
                    machine.spec.spot,
                )
                && request.fits_in(&machine.spec.capacity)
        })
    }

    /// Assigns booting machines to a job for up to `tasks` tasks. Returns the number of tasks that
    /// they have capacity for.
    fn serve_from_pending(&mut self, desc: &JobDesc, tasks: u32) -> u32 {
        let request = desc.request();
        let mut served = 0;
        for machines in &mut self.pending {
            let per_machine = request.times_in(&machines.capacity);
            let is_allowed = desc.allows(machines.machine_type, machines.zone, machines.spot);
            if served < tasks && machines.count > 0 && per_machine > 0 && is_allowed {
                let used = (tasks - served).div_ceil(per_machine).min(machines.count);
                served += (used * per_machine).min(tasks - served);
                machines.count -= used;
            }
        }
        served
    }

    /// Adds a capacity request, or adds its count to an earlier request with the same requirements.
    fn add_request(&mut self, desc: &JobDesc, count: u32, needs_machine: bool) {
        if count == 0 {
            return;
        }
        let new = CapacityRequest {
            request: desc.request(),
            machine_types: desc.machine_types.clone(),
            zone: desc.zone.clone(),
            spot: desc.spot,
            count,
            estimated_run_time_s: desc.estimated_run_time_s,
            needs_machine,
        };
        match self
            .requests
            .iter_mut()
            .find(|known| known.can_merge_with(&new))
        {
            Some(known) => known.count += new.count,
            None => self.requests.push(new),
        }
    }
}
