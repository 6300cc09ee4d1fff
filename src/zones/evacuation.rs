//! The evacuation of lost zones and the return to them, as the owner of a partition tracks
//! it: displaced jobs, silent machines that are retained, and tasks being moved back.

use super::{ZoneFailoverConfig, ZoneSituation};
use crate::clock::Micros;
use crate::ids::{JobId, MachineId, ZoneId};
use crate::jobs::Job;
use crate::workers::AttemptKey;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use zone_failover::evacuation::{
    DisplacedJob, EvacuationPriority, SilentMachine, Waiting, Waves, merge_displaced,
};
use zone_failover::health::ZoneState;

/// Silent machines of a zone that stays suspect are released after this.
const MAX_RETENTION: Micros = Micros::from_millis(15_000);

/// Silent machines of a zone that only this owner finds down are retained for so long: until
/// the leader has had the time to commit its decision.
const MAX_LOCAL_RETENTION: Micros = Micros::from_millis(5_000);

/// A move of a running task whose end was not seen counts against its team's budget so long.
const MOVE_TIMEOUT: Micros = Micros::from_millis(60_000);

/// A running task that is being moved back to its zone.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Move {
    team: usize,
    expires_at: Micros,
}

/// Which jobs were displaced and which silent machines are retained, in one partition.
#[derive(Debug)]
pub struct ZoneEvacuation {
    /// The checked settings.
    pub config: Rc<ZoneFailoverConfig>,
    /// The states of the zones.
    pub situation: Rc<ZoneSituation>,
    waves: Waves,
    /// Jobs that lost an attempt with a zone.
    displaced: BTreeMap<JobId, ZoneId>,
    /// Silent machines of lost zones that may be released.
    releasable: BTreeSet<MachineId>,
    /// Since when a zone is suspect here.
    suspect_since: BTreeMap<ZoneId, Micros>,
    /// Since when this owner itself finds a zone down.
    down_here: BTreeMap<ZoneId, Micros>,
    moves: BTreeMap<AttemptKey, Move>,
}

impl ZoneEvacuation {
    /// With nothing displaced, and every zone healthy until the first update.
    pub fn new(config: Rc<ZoneFailoverConfig>) -> Self {
        ZoneEvacuation {
            waves: Waves::new(config.settings.waves.clone()),
            situation: Rc::new(ZoneSituation::healthy(&config)),
            config,
            displaced: BTreeMap::new(),
            releasable: BTreeSet::new(),
            suspect_since: BTreeMap::new(),
            down_here: BTreeMap::new(),
            moves: BTreeMap::new(),
        }
    }

    /// Updates the states of the zones.
    pub fn sync(&mut self, now: Micros, situation: &Rc<ZoneSituation>) {
        if !Rc::ptr_eq(&self.situation, situation) {
            self.situation = situation.clone();
            let suspect = |id: &ZoneId| self.situation.state(id.as_str()) == ZoneState::Suspect;
            self.suspect_since.retain(|id, _| suspect(id));
            for id in self.situation.troubled.keys().filter(|id| suspect(id)) {
                self.suspect_since.entry(id.clone()).or_insert(now);
            }
            self.waves.sync(&self.situation.lost());
        }
    }

    /// A job lost an attempt, or may have, on a machine of a zone.
    pub fn displace(&mut self, job: &JobId, zone: &str) {
        let state = self.situation.state(zone);
        if matches!(state, ZoneState::Suspect | ZoneState::Lost) {
            self.displaced.insert(job.clone(), zone.into());
        }
    }

    /// Drops jobs that have ended, and moves that have expired.
    pub fn collect_garbage(&mut self, now: Micros, jobs: &BTreeMap<JobId, Job>) {
        self.displaced.retain(|id, _| jobs.contains_key(id));
        self.moves.retain(|_, task_move| task_move.expires_at > now);
    }

    /// Whether any job was displaced.
    pub fn has_displaced(&self) -> bool {
        !self.displaced.is_empty()
    }

    /// The zone that a job was displaced from.
    pub fn displaced_from(&self, job: &JobId) -> Option<&ZoneId> {
        self.displaced.get(job)
    }

    /// The place of a job among those that are moved out of lost zones now.
    fn priority(&self, job: &Job, wall_clock: Micros) -> Option<EvacuationPriority> {
        let zone = self.displaced.get(&job.desc.id)?;
        if !self.waves.is_evacuating(zone) {
            return None;
        }
        let mut priority = self.config.order.priority(job, wall_clock);
        priority.admitted = self.waves.is_admitted(zone, &job.desc.id);
        Some(priority)
    }

    /// Puts displaced jobs into their stated order; the most urgent job comes first.
    pub fn order<'a, T>(
        &self,
        jobs: Vec<T>,
        job_of: impl Fn(&T) -> &'a Job,
        wall_clock: Micros,
    ) -> Vec<T> {
        let waiting = |entry: T| {
            let displaced = self.priority(job_of(&entry), wall_clock);
            Waiting {
                job: entry,
                displaced,
            }
        };
        merge_displaced(jobs.into_iter().map(waiting).collect())
    }

    /// Whether machines may be scaled out for a job: a displaced one waits for its wave.
    pub fn may_scale_out_for(&self, job: &JobId) -> bool {
        let zone = self.displaced.get(job);
        zone.is_none_or(|zone| self.waves.is_admitted(zone, job))
    }

    /// Whether new work of a job stays out of a zone.
    pub fn closed_to(&self, job: &Job, zone: &str, wall_clock: Micros) -> bool {
        !self.situation.troubled.is_empty()
            && self
                .situation
                .closed_to(&job.desc, wall_clock.since(job.eligible_since()), zone)
    }

    /// Whether a silent machine of a zone is not released for now.
    pub fn retains(&self, now: Micros, machine: &MachineId, zone: &str) -> bool {
        match self.situation.state(zone) {
            // Guards against releasing a zone's machines just before it is suspect.
            ZoneState::Healthy | ZoneState::Probation => self
                .down_here
                .get(zone)
                .is_some_and(|since| now.since(*since) < MAX_LOCAL_RETENTION),
            // It may be back in a moment, with all that ran there.
            ZoneState::Suspect => self
                .suspect_since
                .get(zone)
                .is_some_and(|since| now.since(*since) < MAX_RETENTION),
            ZoneState::Lost => !self.releasable.contains(machine),
        }
    }

    /// Takes in which zones this owner itself finds down.
    pub fn observe(&mut self, now: Micros, down: &BTreeSet<ZoneId>) {
        self.down_here.retain(|zone, _| down.contains(zone));
        for zone in down {
            self.down_here.entry(zone.clone()).or_insert(now);
        }
    }

    /// Which silent machines may be released in this wave, and which displaced jobs may have
    /// machines scaled out for them. `silent` and the waiting tasks are by lost zone.
    pub fn advance(
        &mut self,
        wall_clock: Micros,
        mut silent: BTreeMap<ZoneId, Vec<SilentMachine>>,
        jobs: &BTreeMap<JobId, Job>,
    ) {
        self.releasable.clear();
        for zone in self.situation.lost().into_keys() {
            let machines = silent.remove(&zone).unwrap_or_default();
            let allowed = self.waves.release(&zone, machines);
            self.releasable.extend(allowed);
            let waiting = self.displaced_jobs_of(&zone, jobs, wall_clock);
            self.waves.admit(&zone, waiting);
        }
    }

    fn displaced_jobs_of(
        &self,
        zone: &ZoneId,
        jobs: &BTreeMap<JobId, Job>,
        wall_clock: Micros,
    ) -> Vec<DisplacedJob> {
        let of_zone = self.displaced.iter().filter(|(_, from)| *from == zone);
        let mut waiting: Vec<&Job> = of_zone
            .filter_map(|(id, _)| jobs.get(id).filter(|job| job.wants_machines()))
            .collect();
        // As placement orders them where their priorities are alike. Guards against capacity that
        // is scaled out for one and taken by another, again and again.
        waiting.sort_by_cached_key(|job| job.scheduling_order(wall_clock));
        waiting.reverse();
        waiting
            .into_iter()
            .map(|job| DisplacedJob {
                id: job.desc.id.clone(),
                priority: self.config.order.priority(job, wall_clock),
                tasks: job.waiting().len(),
            })
            .collect()
    }

    /// Whether a silent machine waits for a further wave.
    pub fn is_held_back(&self, zone: &ZoneId, machine: &MachineId) -> bool {
        self.waves.is_held_back(zone, machine)
    }

    /// Displaced tasks of a zone that wait for a further wave.
    pub fn tasks_held_back(&self, zone: &ZoneId, jobs: &BTreeMap<JobId, Job>) -> u32 {
        let of_zone = self.displaced.iter().filter(|(_, from)| *from == zone);
        of_zone
            .filter(|(id, _)| !self.waves.is_admitted(zone, id))
            .filter_map(|(id, _)| jobs.get(id).filter(|job| job.wants_machines()))
            .map(|job| job.waiting().len())
            .sum()
    }

    /// Tasks of each team that are being moved back.
    pub fn moving(&self) -> BTreeMap<usize, u32> {
        let mut moving = BTreeMap::new();
        for task_move in self.moves.values() {
            *moving.entry(task_move.team).or_default() += 1;
        }
        moving
    }

    /// A task is being moved back to its zone.
    pub fn moves(&mut self, now: Micros, task: AttemptKey, team: usize) {
        let expires_at = now + MOVE_TIMEOUT;
        self.moves.insert(task, Move { team, expires_at });
    }
}
