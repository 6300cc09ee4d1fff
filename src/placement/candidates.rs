//! Machines that a placement pass may use, with their free capacity and a score that says how
//! well each machine suits a task.

use super::queue::MachineSelector;
use super::zone_constraints::{TasksByZone, is_zone_allowed};
use super::{SchedulingSnapshot, accepts_tasks};
use crate::clock::Micros;
use crate::fairness::{Load, Resources};
use crate::ids::{JobId, MachineId};
use crate::jobs::{ImageKey, Job, JobDesc};
use crate::workers::Machine;
use std::borrow::Cow;
use std::collections::BTreeSet;

/// One machine may be held for a job, and one more for each this many usable machines of the
/// partition.
const MACHINES_PER_EXTRA_HOLD: usize = 12;
/// Score added for a spot machine. Spot machines are filled first, so that the more expensive
/// ordinary machines become idle and are released.
const SPOT_SCORE: f64 = 1.2;
/// Score added for a machine that has the task's image, so that images are not fetched without
/// need.
const IMAGE_PRESENT_SCORE: f64 = 2.0;
/// Score subtracted for each second that fetching the image takes, up to [`MAX_FETCH_S`].
const SCORE_PENALTY_PER_FETCH_S: f64 = 0.1;
/// Fetch time in seconds beyond which the score is not reduced any further.
const MAX_FETCH_S: f64 = 10.0;
/// Lower bound of the image fetch rate in the score, which prevents a division by zero.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// Score added for a machine with capacity reserved for the job, so that capacity freed by
/// preemption is used first.
const RESERVED_SCORE: f64 = 4.0;

/// A machine in a pass, with the changes that the pass has made so far.
pub(super) struct CandidateMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) machine: &'a Machine,
    pub(super) free: Resources,
    pub(super) load: Cow<'a, Load>,
    /// Images of the tasks that this pass has placed on the machine.
    pub(super) images: Vec<ImageKey>,
    /// Job for which free capacity is held; `None`: any job may use the machine.
    pub(super) held_for: Option<&'a JobId>,
}

impl<'a> CandidateMachine<'a> {
    fn new(id: &'a MachineId, machine: &'a Machine) -> Self {
        CandidateMachine {
            id,
            machine,
            free: machine.spec.capacity - machine.load.summed,
            load: Cow::Borrowed(&machine.load),
            images: Vec::new(),
            held_for: None,
        }
    }

    /// Returns the free capacity that a job may use: without the capacity that is reserved for
    /// other jobs.
    pub(super) fn free_for(&self, id: &JobId, now: Micros) -> Resources {
        let mut free = self.free;
        let reservations = self.machine.reservations.active(now);
        for reservation in reservations.filter(|reservation| reservation.job != *id) {
            free -= reservation.resources();
        }
        free
    }

    /// Whether no capacity of the machine is held for another job.
    pub(super) fn is_open_to(&self, id: &JobId) -> bool {
        self.held_for.is_none_or(|held_for| held_for == id)
    }

    /// Returns how well the machine suits a task; higher is better. A task that takes a larger
    /// share of the free capacity scores higher, so that small tasks go where large ones do not
    /// fit. A machine that has the image scores higher than one that must fetch it, and a fast
    /// fetch scores higher than a slow one.
    fn score(&self, desc: &JobDesc, image: ImageKey) -> f64 {
        let mut score = desc.request().share_of(&self.free);
        if self.machine.images.contains(&image) || self.images.contains(&image) {
            score += IMAGE_PRESENT_SCORE;
        } else {
            let rate = self
                .machine
                .spec
                .image_fetch_gb_per_s
                .max(MIN_FETCH_GB_PER_S);
            score -= SCORE_PENALTY_PER_FETCH_S * (desc.image_gb / rate).min(MAX_FETCH_S);
        }
        if self.machine.spec.spot {
            score += SPOT_SCORE;
        }
        if self.machine.reservations.has_any_for(&desc.id) {
            score += RESERVED_SCORE;
        }
        score
    }

    /// Returns the largest share of any of the machine's resources that is missing for a request;
    /// 0 if the request fits.
    fn lacking_share(&self, request: &Resources) -> f64 {
        let lacking = *request - self.free;
        lacking
            .max(Resources::default())
            .share_of(&self.machine.spec.capacity)
    }
}

/// Machines of the same type and zone that are all spot instances or all ordinary ones.
struct MachineKind<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    /// Largest free amount of each resource on any of the machines when the pass began.
    max_free: Resources,
    /// Largest capacity of each resource of any of the machines.
    max_capacity: Resources,
    /// Indexes of the machines in [`CandidateMachines::machines`].
    machine_indexes: Vec<usize>,
}

impl<'a> MachineKind<'a> {
    fn of(machine: &'a Machine, free: Resources) -> Self {
        MachineKind {
            machine_type: &machine.spec.machine_type,
            zone: &machine.spec.zone,
            spot: machine.spec.spot,
            max_free: free,
            max_capacity: machine.spec.capacity,
            machine_indexes: Vec::new(),
        }
    }

    fn includes(&self, machine: &Machine) -> bool {
        self.machine_type == machine.spec.machine_type
            && self.zone == machine.spec.zone
            && self.spot == machine.spec.spot
    }
}

/// The most room that a selector finds on any machine, by resource. A request that exceeds it fits
/// on no machine; one that does not exceed it may still fit on none.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SelectorRoom {
    /// Largest free amount when the pass began.
    pub(super) max_free: Resources,
    /// Largest capacity, whether it is free or not.
    pub(super) max_capacity: Resources,
}

/// The result of a search for machines for a job.
pub(super) struct MachineSearch {
    /// Indexes of the machines on which a task of the job fits now, in ascending order of score: the
    /// best one is the last.
    pub(super) indexes: Vec<usize>,
    /// Whether a task fits on a machine that is held for another job.
    pub(super) is_blocked_by_hold: bool,
}

/// Machines that a pass may use.
pub struct CandidateMachines<'a> {
    pub(super) machines: Vec<CandidateMachine<'a>>,
    kinds: Vec<MachineKind<'a>>,
    /// Whether the pass covers the whole partition. Only such a pass holds machines for a job
    /// that fits on none.
    pub(super) is_whole_partition: bool,
    /// Number of comparisons of a job with a machine so far: the cost of the pass.
    pub(super) machines_compared: usize,
}

impl<'a> CandidateMachines<'a> {
    /// Returns all machines of the partition that accept tasks now.
    pub fn of_partition(snapshot: &SchedulingSnapshot<'a>) -> Self {
        let machines: Vec<CandidateMachine<'a>> = snapshot
            .machines
            .iter()
            .filter(|(_, machine)| accepts_tasks(machine, snapshot.now, snapshot.heartbeat_timeout))
            .map(|(id, machine)| CandidateMachine::new(id, machine))
            .collect();
        CandidateMachines {
            kinds: kinds_of(&machines),
            machines,
            is_whole_partition: true,
            machines_compared: 0,
        }
    }

    /// Returns a single machine, on which capacity became free; `None` if the machine is unknown
    /// or accepts no tasks now.
    pub fn of_machine(snapshot: &SchedulingSnapshot<'a>, id: &'a MachineId) -> Option<Self> {
        let machine = snapshot.machines.get(id)?;
        if !accepts_tasks(machine, snapshot.now, snapshot.heartbeat_timeout) {
            return None;
        }
        let mut candidate = CandidateMachine::new(id, machine);
        // The hold lasts as long as the job still has waiting tasks.
        let still_waits = |id: &&JobId| {
            let job = snapshot.jobs.get(*id);
            job.is_some_and(|job| !job.waiting().is_empty())
        };
        candidate.held_for = machine.reservations.held_for().filter(still_waits);
        let machines = vec![candidate];
        Some(CandidateMachines {
            kinds: kinds_of(&machines),
            machines,
            is_whole_partition: false,
            machines_compared: 0,
        })
    }

    /// Returns the number of machines.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Returns the most room that a selector finds on any of the machines.
    pub(super) fn room_of(&self, selector: &MachineSelector) -> SelectorRoom {
        let mut room = SelectorRoom::default();
        let allowed = self
            .kinds
            .iter()
            .filter(|kind| selector.allows(kind.machine_type, kind.zone, kind.spot));
        for kind in allowed {
            room.max_free = room.max_free.max(kind.max_free);
            room.max_capacity = room.max_capacity.max(kind.max_capacity);
        }
        room
    }

    /// Whether the capacity of any of the machines suffices for a job that may run there.
    pub(super) fn suit(&self, desc: &JobDesc) -> bool {
        self.kinds.iter().any(|kind| {
            desc.allows(kind.machine_type, kind.zone, kind.spot)
                && desc.request().fits_in(&kind.max_capacity)
        })
    }

    /// Returns the jobs that have capacity of a machine reserved or held for them. They may fit where
    /// other jobs with the same requirements do not.
    pub(super) fn jobs_with_reservations(&self, now: Micros) -> BTreeSet<&'a JobId> {
        let mut jobs = BTreeSet::new();
        for candidate in &self.machines {
            jobs.extend(candidate.held_for);
            let reservations = candidate.machine.reservations.active(now);
            jobs.extend(reservations.map(|reservation| &reservation.job));
        }
        jobs
    }

    /// Searches the machines on which a task of the job fits now. `may_use_held` tells whether the job
    /// may use capacity that is held for another one.
    pub(super) fn search(
        &mut self,
        snapshot: &SchedulingSnapshot<'_>,
        id: &JobId,
        job: &Job,
        may_use_held: impl Fn(&JobId) -> bool,
    ) -> MachineSearch {
        let desc = &*job.desc;
        let (request, image) = (desc.request(), desc.image_key());
        let yielded = snapshot
            .constrained
            .yielded_machine_types(job, snapshot.wall_clock);
        let mut scored: Vec<(f64, usize)> = Vec::new();
        let mut is_blocked_by_hold = false;
        for kind in &self.kinds {
            if !request.fits_in(&kind.max_free)
                || !desc.allows(kind.machine_type, kind.zone, kind.spot)
                || yielded.contains(&kind.machine_type)
                || snapshot.is_zone_closed_to(job, kind.zone)
            {
                continue;
            }
            self.machines_compared += kind.machine_indexes.len();
            for &machine_index in &kind.machine_indexes {
                let candidate = &self.machines[machine_index];
                // Skips machines on which the job failed recently: it tries others first.
                let has_room = request.fits_in(&candidate.free)
                    && request.fits_in(&candidate.free_for(id, snapshot.now))
                    && !candidate.machine.is_avoided_by(id, snapshot.now);
                if !has_room {
                    continue;
                }
                if candidate.is_open_to(id) || candidate.held_for.is_some_and(&may_use_held) {
                    scored.push((candidate.score(desc, image), machine_index));
                } else {
                    is_blocked_by_hold = true;
                }
            }
        }
        MachineSearch {
            indexes: indexes_by_score(scored),
            is_blocked_by_hold,
        }
    }

    /// Holds machines for a job that fits on none, or small tasks would always take the capacity
    /// that becomes free. The machines on which the job lacks the smallest share of capacity are
    /// held, since it is likely to fit there first. Machines that the job stays away from by itself
    /// are not held for it. Returns whether any is held.
    pub(super) fn hold(
        &mut self,
        snapshot: &SchedulingSnapshot<'_>,
        id: &'a JobId,
        job: &Job,
        waiting: u32,
        by_zone: &TasksByZone<'_>,
    ) -> bool {
        let desc = &*job.desc;
        let request = desc.request();
        let max_held = (waiting as usize).min(1 + self.machines.len() / MACHINES_PER_EXTRA_HOLD);
        let mut lacking: Vec<(f64, usize)> = Vec::new();
        self.machines_compared += self.machines.len();
        for (machine_index, candidate) in self.machines.iter().enumerate() {
            let machine = candidate.machine;
            if request.fits_in(&machine.spec.capacity)
                && desc.allows(
                    &machine.spec.machine_type,
                    &machine.spec.zone,
                    machine.spec.spot,
                )
                && is_zone_allowed(desc, by_zone, &machine.spec.zone)
                && !machine.is_avoided_by(id, snapshot.now)
                && !snapshot.is_zone_closed_to(job, &machine.spec.zone)
            {
                lacking.push((candidate.lacking_share(&request), machine_index));
            }
        }
        let is_any_held = !lacking.is_empty() && max_held > 0;
        for machine_index in indexes_by_score(lacking).into_iter().take(max_held) {
            self.machines[machine_index].held_for = Some(id);
        }
        is_any_held
    }
}

fn kinds_of<'a>(machines: &[CandidateMachine<'a>]) -> Vec<MachineKind<'a>> {
    let mut kinds: Vec<MachineKind<'a>> = Vec::new();
    for (machine_index, candidate) in machines.iter().enumerate() {
        let known = kinds
            .iter()
            .position(|kind| kind.includes(candidate.machine));
        let kind_index = known.unwrap_or_else(|| {
            kinds.push(MachineKind::of(candidate.machine, candidate.free));
            kinds.len() - 1
        });
        let kind = &mut kinds[kind_index];
        kind.machine_indexes.push(machine_index);
        kind.max_free = kind.max_free.max(candidate.free);
        kind.max_capacity = kind.max_capacity.max(candidate.machine.spec.capacity);
    }
    kinds
}

/// Returns the indexes in ascending order of their scores.
fn indexes_by_score(mut scored: Vec<(f64, usize)>) -> Vec<usize> {
    scored.sort_by(|left, right| left.0.total_cmp(&right.0));
    scored
        .into_iter()
        .map(|(_, machine_index)| machine_index)
        .collect()
}
