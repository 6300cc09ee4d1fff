//! The room that waiting work lacks, for renting and for moving machines.

use super::SchedulingSnapshot;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::jobs::{Job, JobDesc, allows_build};
use crate::workers::ReleaseState;
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
    /// Machines that the cloud may take back will do.
    pub spot: bool,
    /// Tasks' worth of room that is missing.
    pub count: u32,
    /// How long a task runs, in seconds, as its owner estimates.
    pub estimated_run_time_s: f64,
    /// It has waited for so long that machines are rented at once.
    pub waited_long: bool,
}

impl CapacityRequest {
    /// Whether such a machine can run a task of it.
    pub fn fits(&self, machine_type: &str, zone: &str, spot: bool, capacity: &Resources) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && allows_build(&self.machine_types, machine_type)
            && self.request.fits_in(capacity)
    }

    fn like(&self, o: &CapacityRequest) -> bool {
        self.request == o.request
            && self.machine_types == o.machine_types
            && self.zone == o.zone
            && self.spot == o.spot
            && self.waited_long == o.waited_long
    }
}

/// Machines on their way that are alike.
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

/// Work that has waited this long rents at once.
const LONG: Micros = Micros::from_millis(10_000);

/// Takes from machines on their way what serves a job; returns for how many tasks.
fn serve(rooms: &mut [PendingMachines<'_>], d: &JobDesc, tasks: u32) -> u32 {
    let request = d.request();
    let mut served = 0;
    for room in rooms {
        let per = request.times_in(&room.capacity);
        let allowed = d.allows(room.machine_type, room.zone, room.spot);
        if served < tasks && room.count > 0 && per > 0 && allowed {
            let used = (tasks - served).div_ceil(per).min(room.count);
            served += (used * per).min(tasks - served);
            room.count -= used;
        }
    }
    served
}

fn add(needs: &mut Vec<CapacityRequest>, d: &JobDesc, count: u32, waited_long: bool) {
    if count == 0 {
        return;
    }
    let need = CapacityRequest {
        request: d.request(),
        machine_types: d.machine_types.clone(),
        zone: d.zone.clone(),
        spot: d.spot,
        count,
        estimated_run_time_s: d.estimated_run_time_s,
        waited_long,
    };
    match needs.iter_mut().find(|n| n.like(&need)) {
        Some(n) => n.count += need.count,
        None => needs.push(need),
    }
}

/// The room that the partition's waiting work still lacks, after what is booting.
pub fn needs(
    snapshot: &SchedulingSnapshot<'_>,
    coming: &[PendingMachines<'_>],
    horizon: Micros,
) -> Vec<CapacityRequest> {
    let mut left: BTreeMap<usize, Resources> = BTreeMap::new();
    for &t in snapshot.teams {
        let limit = snapshot.settings.platform.teams[t].limit();
        left.insert(t, limit - snapshot.usage.of(t).used);
    }
    let mut jobs: Vec<&Job> = snapshot
        .jobs
        .values()
        .filter(|j| j.wants_machines())
        .collect();
    jobs.sort_by_cached_key(|j| (Reverse(j.rank()), j.slack(snapshot.wall_clock)));
    let mut jobs = snapshot.in_evacuation_order(jobs, |job| *job);
    if let Some(evacuation) = snapshot.zone_evacuation {
        jobs.retain(|job| evacuation.may_scale_out_for(&job.desc.id));
    }
    let mut rooms: Vec<PendingMachines<'_>> = coming.to_vec();
    let mut carry = 0.0;
    let mut needs: Vec<CapacityRequest> = Vec::new();
    for job in jobs {
        let d = &job.desc;
        let request = d.request();
        let room = left
            .get_mut(&job.team)
            .map_or(0, |l| request.times_in(l).min(job.waiting.len()))
            .min(job.startable());
        // Short tasks run one after another in the time that a boot takes.
        let estimate = Micros::from_secs(d.estimated_run_time_s).0 as f64;
        let part = (estimate / horizon.0.max(1) as f64).min(1.0);
        let waited_long = snapshot.wall_clock.since(job.eligible_since) >= LONG;
        // What is left of one job's part counts with the next one's; nobody waits
        // for ever because his part is small.
        let exact = f64::from(room) * part * job.choice.rent + carry;
        // Where it has no machine at all, nothing will get free for it.
        let nowhere = !snapshot.machines.values().any(|m| {
            m.release_state == ReleaseState::Active
                && !m.draining
                && d.allows(&m.machine_type, &m.zone, m.spot)
                && request.fits_in(&m.capacity)
        });
        if job.fails() && !nowhere {
            // Guards against machines rented for a job that waits because it fails, and
            // not because it lacks room.
            continue;
        }
        let mut wanted = if waited_long || nowhere {
            exact.ceil()
        } else {
            exact.floor()
        } as u32;
        carry = (exact - f64::from(wanted)).max(0.0);
        wanted = wanted.min(room);
        if let Some(l) = left.get_mut(&job.team) {
            *l -= request.scale(f64::from(wanted));
        }
        wanted -= serve(&mut rooms, d, wanted);
        add(&mut needs, d, wanted, waited_long);
    }
    needs
}
