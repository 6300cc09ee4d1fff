//! The machines that a pass may use: what is free on them, and how good a place each is.

use super::zone_constraints::{TasksByZone, is_zone_allowed};
use super::{SchedulingSnapshot, accepts_tasks};
use crate::clock::Micros;
use crate::fairness::{Load, Resources};
use crate::ids::{JobId, MachineId};
use crate::jobs::{ImageKey, Job, JobDesc};
use crate::workers::Machine;
use std::borrow::Cow;

/// At most one in so many machines is held for a head job.
const MACHINES_PER_HELD: usize = 12;
/// Spot machines are filled first, so that the expensive ones become idle and are released.
const SPOT_SCORE: f64 = 1.2;
/// Images are not fetched without need.
const IMAGE_PRESENT_SCORE: f64 = 2.0;
/// What each second of fetching an image takes from the score, up to
/// [`MAX_FETCH_SECONDS`].
const FETCH_SECOND_SCORE: f64 = 0.1;
const MAX_FETCH_SECONDS: f64 = 10.0;
/// A rate below this counts as this one, so that no division is by zero.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// What others were stopped for is used first.
const RESERVED_SCORE: f64 = 4.0;

/// A machine in a pass.
pub(super) struct CandidateMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) machine: &'a Machine,
    pub(super) free: Resources,
    pub(super) load: Cow<'a, Load>,
    /// Images that come with what was placed in this pass.
    pub(super) images: Vec<ImageKey>,
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

    /// What is free for a job, without what others were stopped for.
    pub(super) fn free_for(&self, id: &JobId, now: Micros) -> Resources {
        let mut free = self.free;
        let reservations = self.machine.reservations.active(now);
        for reservation in reservations.filter(|reservation| reservation.job != *id) {
            free -= reservation.resources();
        }
        free
    }

    fn is_open_to(&self, id: &JobId) -> bool {
        self.held_for.is_none_or(|held_for| held_for == id)
    }

    /// How good a place it is: small tasks go where large ones can't, images are not
    /// fetched without need, and where one must be, sooner rather than later.
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
            score -= FETCH_SECOND_SCORE * (desc.image_gb / rate).min(MAX_FETCH_SECONDS);
        }
        if self.machine.spec.spot {
            score += SPOT_SCORE;
        }
        if self.machine.reservations.has_any_for(&desc.id) {
            score += RESERVED_SCORE;
        }
        score
    }

    /// The largest share of the machine that a request lacks on it.
    fn lacking_share(&self, request: &Resources) -> f64 {
        let lacking = *request - self.free;
        lacking
            .max(Resources::default())
            .share_of(&self.machine.spec.capacity)
    }
}

/// Machines alike in type, zone and whether they are spot instances.
struct MachineKind<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    /// The most that any of them has free; less may be left by now.
    max_free: Resources,
    /// Their places among the candidates.
    places: Vec<usize>,
}

impl<'a> MachineKind<'a> {
    fn of(machine: &'a Machine, free: Resources) -> Self {
        MachineKind {
            machine_type: &machine.spec.machine_type,
            zone: &machine.spec.zone,
            spot: machine.spec.spot,
            max_free: free,
            places: Vec::new(),
        }
    }

    fn includes(&self, machine: &Machine) -> bool {
        self.machine_type == machine.spec.machine_type
            && self.zone == machine.spec.zone
            && self.spot == machine.spec.spot
    }
}

/// The machines that a pass may use.
pub struct CandidateMachines<'a> {
    pub(super) machines: Vec<CandidateMachine<'a>>,
    kinds: Vec<MachineKind<'a>>,
    /// The most that any machine has free.
    pub(super) max_free: Resources,
    /// Room is held only by passes that see the whole partition.
    pub(super) is_whole_partition: bool,
    /// Machines compared with a class so far: what a pass costs.
    pub(super) machines_compared: usize,
}

impl<'a> CandidateMachines<'a> {
    /// All machines of the partition that can be used now.
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
            max_free: Resources::default(),
            is_whole_partition: true,
            machines_compared: 0,
        }
    }

    /// One machine, on which room got free.
    pub fn of_machine(snapshot: &SchedulingSnapshot<'a>, id: &'a MachineId) -> Option<Self> {
        let machine = snapshot.machines.get(id)?;
        if !accepts_tasks(machine, snapshot.now, snapshot.heartbeat_timeout) {
            return None;
        }
        let mut candidate = CandidateMachine::new(id, machine);
        // Held room stays held while the job that it is for still waits.
        let still_waits = |id: &&JobId| {
            let job = snapshot.jobs.get(*id);
            job.is_some_and(|job| !job.waiting().is_empty())
        };
        candidate.held_for = machine.reservations.held_for().filter(still_waits);
        let machines = vec![candidate];
        Some(CandidateMachines {
            kinds: kinds_of(&machines),
            max_free: machines[0].free,
            machines,
            is_whole_partition: false,
            machines_compared: 0,
        })
    }

    /// How many machines there are.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// The machines where a task fits now, by their places, the best one last.
    pub(super) fn candidates(
        &mut self,
        snapshot: &SchedulingSnapshot<'_>,
        id: &JobId,
        job: &Job,
    ) -> Vec<usize> {
        let desc = &*job.desc;
        let (request, image) = (desc.request(), desc.image_key());
        let leaves = snapshot.constrained.leaves(job, snapshot.wall_clock);
        let mut scored: Vec<(f64, usize)> = Vec::new();
        for kind in &self.kinds {
            if !request.fits_in(&kind.max_free)
                || !desc.allows(kind.machine_type, kind.zone, kind.spot)
                || leaves.contains(&kind.machine_type)
                || snapshot.is_closed(job, kind.zone)
            {
                continue;
            }
            self.machines_compared += kind.places.len();
            for &place in &kind.places {
                let candidate = &self.machines[place];
                // A job that failed on a machine tries others first.
                if candidate.is_open_to(id)
                    && request.fits_in(&candidate.free)
                    && request.fits_in(&candidate.free_for(id, snapshot.now))
                    && !candidate.machine.is_avoided_by(id, snapshot.now)
                {
                    scored.push((candidate.score(desc, image), place));
                }
            }
        }
        places_by_score(scored)
    }

    /// A head job that fits nowhere holds freed room on the machines where it will
    /// fit soonest, or small tasks would always take it.
    pub(super) fn hold(
        &mut self,
        id: &'a JobId,
        desc: &JobDesc,
        waiting: u32,
        by_zone: &TasksByZone<'_>,
    ) {
        let request = desc.request();
        let max_held = (waiting as usize).min(1 + self.machines.len() / MACHINES_PER_HELD);
        let mut lacking: Vec<(f64, usize)> = Vec::new();
        self.machines_compared += self.machines.len();
        for (place, candidate) in self.machines.iter().enumerate() {
            let machine = candidate.machine;
            if request.fits_in(&machine.spec.capacity)
                && desc.allows(
                    &machine.spec.machine_type,
                    &machine.spec.zone,
                    machine.spec.spot,
                )
                && is_zone_allowed(desc, by_zone, &machine.spec.zone)
            {
                lacking.push((candidate.lacking_share(&request), place));
            }
        }
        for place in places_by_score(lacking).into_iter().take(max_held) {
            self.machines[place].held_for = Some(id);
        }
    }
}

fn kinds_of<'a>(machines: &[CandidateMachine<'a>]) -> Vec<MachineKind<'a>> {
    let mut kinds: Vec<MachineKind<'a>> = Vec::new();
    for (place, candidate) in machines.iter().enumerate() {
        let known = kinds
            .iter()
            .position(|kind| kind.includes(candidate.machine));
        let index = known.unwrap_or_else(|| {
            kinds.push(MachineKind::of(candidate.machine, candidate.free));
            kinds.len() - 1
        });
        let kind = &mut kinds[index];
        kind.places.push(place);
        kind.max_free = kind.max_free.max(candidate.free);
    }
    kinds
}

/// Places by their scores, the lowest first.
fn places_by_score(mut scored: Vec<(f64, usize)>) -> Vec<usize> {
    scored.sort_by(|left, right| left.0.total_cmp(&right.0));
    scored.into_iter().map(|(_, place)| place).collect()
}
