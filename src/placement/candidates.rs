//! The machines that a pass may use: what is free on them, and how good a place each is.

use super::{SchedulingSnapshot, usable, zone_allowed};
use crate::clock::Micros;
use crate::fairness::{Load, Resources};
use crate::ids::{JobId, MachineId};
use crate::jobs::{ImageKey, Job, JobDesc};
use crate::workers::Machine;
use std::borrow::Cow;
use std::collections::BTreeMap;

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
            free: machine.capacity - machine.load.summed,
            load: Cow::Borrowed(&machine.load),
            images: Vec::new(),
            held_for: None,
        }
    }

    /// What is free for a job, without what others were stopped for.
    pub(super) fn free_for(&self, id: &JobId, now: Micros) -> Resources {
        let mut free = self.free;
        for r in self
            .machine
            .reserved
            .iter()
            .filter(|r| r.job != *id && r.until > now)
        {
            free -= r.request.scale(f64::from(r.count));
        }
        free
    }

    fn open_to(&self, id: &JobId) -> bool {
        self.held_for.is_none_or(|h| h == id)
    }
}

/// Machines alike in type, zone and kind.
struct Kind<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    /// The most that any of them has free; less may be left by now.
    most: Resources,
    rooms: Vec<usize>,
}

/// The machines that a pass may use.
pub struct CandidateMachines<'a> {
    pub(super) rooms: Vec<CandidateMachine<'a>>,
    kinds: Vec<Kind<'a>>,
    /// The most that any machine has free.
    pub(super) most: Resources,
    /// Room is held only by passes that see the whole partition.
    pub(super) whole: bool,
    /// Machines compared with a class so far: what a pass costs.
    pub machines_compared: usize,
}

impl<'a> CandidateMachines<'a> {
    /// All machines of the partition that can be used now.
    pub fn whole(snapshot: &SchedulingSnapshot<'a>) -> Self {
        let usable = |m: &&Machine| usable(m, snapshot.now, snapshot.heartbeat_timeout);
        let rooms = snapshot.machines.iter().filter(|(_, m)| usable(m));
        let mut floor = CandidateMachines {
            rooms: rooms.map(|(id, m)| CandidateMachine::new(id, m)).collect(),
            kinds: Vec::new(),
            most: Resources::default(),
            whole: true,
            machines_compared: 0,
        };
        for (i, r) in floor.rooms.iter().enumerate() {
            let m = r.machine;
            let same = |k: &&mut Kind<'_>| {
                k.machine_type == m.machine_type && k.zone == m.zone && k.spot == m.spot
            };
            let kind = match floor.kinds.iter_mut().find(same) {
                Some(kind) => kind,
                None => {
                    floor.kinds.push(Kind {
                        machine_type: &m.machine_type,
                        zone: &m.zone,
                        spot: m.spot,
                        most: r.free,
                        rooms: Vec::new(),
                    });
                    let last = floor.kinds.len() - 1;
                    &mut floor.kinds[last]
                }
            };
            kind.rooms.push(i);
            kind.most = kind.most.max(r.free);
        }
        floor
    }

    /// How many machines there are.
    pub fn len(&self) -> usize {
        self.rooms.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// One machine, on which room got free.
    pub fn one(snapshot: &SchedulingSnapshot<'a>, id: &'a MachineId) -> Option<Self> {
        let m = snapshot.machines.get(id)?;
        if !usable(m, snapshot.now, snapshot.heartbeat_timeout) {
            return None;
        }
        let mut room = CandidateMachine::new(id, m);
        // Held room stays held while the job that it is for still waits.
        let waits = |j: &&JobId| snapshot.jobs.get(*j).is_some_and(|j| !j.waiting.is_empty());
        room.held_for = m.held_for.as_ref().filter(waits);
        let kind = Kind {
            machine_type: &m.machine_type,
            zone: &m.zone,
            spot: m.spot,
            most: room.free,
            rooms: vec![0],
        };
        Some(CandidateMachines {
            most: room.free,
            rooms: vec![room],
            kinds: vec![kind],
            whole: false,
            machines_compared: 0,
        })
    }

    /// The machines where a task fits now, the best one last.
    pub(super) fn candidates(
        &mut self,
        snapshot: &SchedulingSnapshot<'_>,
        id: &JobId,
        job: &Job,
    ) -> Vec<usize> {
        let d = &*job.desc;
        let (request, image) = (d.request(), d.image_key());
        let leaves = snapshot.constrained.leaves(job, snapshot.wall_clock);
        let mut found: Vec<(f64, usize)> = Vec::new();
        for kind in &self.kinds {
            if !request.fits_in(&kind.most)
                || !d.allows(kind.machine_type, kind.zone, kind.spot)
                || leaves.contains(&kind.machine_type)
                || snapshot.is_closed(job, kind.zone)
            {
                continue;
            }
            self.machines_compared += kind.rooms.len();
            for &i in &kind.rooms {
                let r = &self.rooms[i];
                // A job that failed on a machine tries others first.
                if r.open_to(id)
                    && request.fits_in(&r.free)
                    && request.fits_in(&r.free_for(id, snapshot.now))
                    && !r.machine.is_avoided_by(id, snapshot.now)
                {
                    found.push((worth(r, d, image), i));
                }
            }
        }
        found.sort_by(|a, b| a.0.total_cmp(&b.0));
        found.into_iter().map(|(_, i)| i).collect()
    }

    /// A head job that fits nowhere holds freed room on the machines where it will
    /// fit soonest, or small tasks would always take it.
    pub(super) fn hold(
        &mut self,
        id: &'a JobId,
        d: &JobDesc,
        waiting: u32,
        zones: &BTreeMap<&str, u32>,
    ) {
        let request = d.request();
        let most = (waiting as usize).min(1 + self.rooms.len() / HELD_PART);
        let mut found: Vec<(f64, usize)> = Vec::new();
        self.machines_compared += self.rooms.len();
        for (i, r) in self.rooms.iter().enumerate() {
            let m = r.machine;
            if request.fits_in(&m.capacity)
                && d.allows(&m.machine_type, &m.zone, m.spot)
                && zone_allowed(d, zones, &m.zone)
            {
                found.push((missing(r, &request), i));
            }
        }
        found.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, i) in found.into_iter().take(most) {
            self.rooms[i].held_for = Some(id);
        }
    }
}

/// At most one in so many machines is held for a head job.
const HELD_PART: usize = 12;

/// How good a place is: small tasks go where large ones can't, images are not
/// fetched without need, and where one must be, sooner rather than later.
fn worth(r: &CandidateMachine<'_>, d: &JobDesc, image: ImageKey) -> f64 {
    let mut worth = d.request().share_of(&r.free);
    if r.machine.images.contains(&image) || r.images.contains(&image) {
        worth += 2.0;
    } else {
        worth -= 0.1 * (d.image_gb / r.machine.image_fetch_gb_per_s.max(0.01)).min(10.0);
    }
    if r.machine.spot {
        worth += SPOT_FIRST;
    }
    if r.machine.reserved.iter().any(|x| x.job == d.id) {
        worth += 4.0;
    }
    worth
}

/// Spot machines are filled first, so that the dear ones get idle and are returned.
const SPOT_FIRST: f64 = 1.2;

fn missing(r: &CandidateMachine<'_>, request: &Resources) -> f64 {
    let lacking = *request - r.free;
    lacking
        .max(Resources::default())
        .share_of(&r.machine.capacity)
}
