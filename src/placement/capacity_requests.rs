//! The capacity that waiting work lacks, for scaling out and for moving machines.

use super::SchedulingSnapshot;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::jobs::{Job, JobDesc, allows_machine_type};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Waiting work of one class.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CapacityRequest {
    /// What a task takes.
    pub request: Resources,
    /// The machine types that are allowed; none: any.
    pub machine_types: Option<Vec<String>>,
    /// The only zone that is allowed; none: any.
    pub zone: Option<String>,
    /// Spot machines will do.
    pub spot: bool,
    /// Tasks' worth of capacity that is missing.
    pub count: u32,
    /// How long a task runs, in seconds, as its owner estimates.
    pub estimated_run_time_s: f64,
    /// It has waited for so long that machines are scaled out at once.
    pub waited_long: bool,
}

impl CapacityRequest {
    /// Whether such a machine can run a task of it.
    pub fn fits(&self, machine_type: &str, zone: &str, spot: bool, capacity: &Resources) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|only| only == zone)
            && allows_machine_type(&self.machine_types, machine_type)
            && self.request.fits_in(capacity)
    }

    fn is_like(&self, other: &CapacityRequest) -> bool {
        self.request == other.request
            && self.machine_types == other.machine_types
            && self.zone == other.zone
            && self.spot == other.spot
            && self.waited_long == other.waited_long
    }
}

/// Machines that are booting and alike.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMachines<'a> {
    /// Of each of them.
    pub capacity: Resources,
    /// Their type.
    pub machine_type: &'a str,
    /// Their zone.
    pub zone: &'a str,
    /// Whether the cloud may take them back.
    pub spot: bool,
    /// How many there are.
    pub count: u32,
}

/// Work that has waited this long scales out at once.
const LONG_WAIT: Micros = Micros::from_millis(10_000);

/// The capacity that the partition's waiting work still lacks, after what is booting.
/// Work shorter than `horizon` asks for a part of its capacity only.
pub fn capacity_requests(
    snapshot: &SchedulingSnapshot<'_>,
    pending: &[PendingMachines<'_>],
    horizon: Micros,
) -> Vec<CapacityRequest> {
    let mut planner = Planner::new(snapshot, pending, horizon);
    for job in jobs_in_order(snapshot) {
        planner.add(job);
    }
    planner.requests
}

/// Jobs that want machines, the most urgent first.
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

struct Planner<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    horizon: Micros,
    /// What each team may still use below its limit.
    left: BTreeMap<usize, Resources>,
    pending: Vec<PendingMachines<'s>>,
    /// Tasks' worth that rounding left over: what is left of one job's part counts with the
    /// next one's, so that nobody waits for ever because a part is small.
    carry: f64,
    requests: Vec<CapacityRequest>,
}

impl<'s, 'a> Planner<'s, 'a> {
    fn new(
        snapshot: &'s SchedulingSnapshot<'a>,
        pending: &[PendingMachines<'s>],
        horizon: Micros,
    ) -> Self {
        let left = snapshot.teams.iter().map(|&team| {
            let limit = snapshot.settings.platform.teams[team].limit();
            (team, limit - snapshot.usage.of(team).used)
        });
        Planner {
            snapshot,
            horizon,
            left: left.collect(),
            pending: pending.to_vec(),
            carry: 0.0,
            requests: Vec::new(),
        }
    }

    fn add(&mut self, job: &Job) {
        let desc = &job.desc;
        let request = desc.request();
        let startable = self.startable_tasks(job);
        let has_no_machine = self.has_no_machine(desc);
        if job.is_failing() && !has_no_machine {
            // Guards against machines scaled out for a job that waits because it fails, and
            // not because it lacks capacity.
            return;
        }
        let waited_long = self.snapshot.wall_clock.since(job.eligible_since()) >= LONG_WAIT;
        let exact = f64::from(startable)
            * self.part_of_run_time(desc)
            * job.policy_choice().scale_out_factor
            + self.carry;
        let mut wanted = if waited_long || has_no_machine {
            exact.ceil()
        } else {
            exact.floor()
        } as u32;
        self.carry = (exact - f64::from(wanted)).max(0.0);
        wanted = wanted.min(startable);
        if let Some(left) = self.left.get_mut(&job.team) {
            *left -= request.scale(f64::from(wanted));
        }
        wanted -= self.serve_from_pending(desc, wanted);
        self.request(desc, wanted, waited_long);
    }

    /// Tasks of a job that could start now below its team's limit.
    fn startable_tasks(&self, job: &Job) -> u32 {
        let request = job.desc.request();
        self.left
            .get(&job.team)
            .map_or(0, |left| request.times_in(left).min(job.waiting().len()))
            .min(job.startable())
    }

    /// Short tasks run one after another in the time that a boot takes.
    fn part_of_run_time(&self, desc: &JobDesc) -> f64 {
        let estimate = Micros::from_secs(desc.estimated_run_time_s).0 as f64;
        (estimate / self.horizon.0.max(1) as f64).min(1.0)
    }

    /// Where it has no machine at all, nothing will get free for it.
    fn has_no_machine(&self, desc: &JobDesc) -> bool {
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

    /// Takes from booting machines what serves a job; returns for how many tasks.
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

    fn request(&mut self, desc: &JobDesc, count: u32, waited_long: bool) {
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
            waited_long,
        };
        match self.requests.iter_mut().find(|known| known.is_like(&new)) {
            Some(known) => known.count += new.count,
            None => self.requests.push(new),
        }
    }
}
