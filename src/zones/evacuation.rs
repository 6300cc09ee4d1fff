//! Evacuation of lost zones and return to them, as the owner of a partition tracks them:
//! displaced jobs, retained silent machines, and running tasks that are being moved back.
//!
//! A silent machine is a machine whose heartbeats do not arrive. Invariant: the silent machines
//! of a lost zone are released, and machines are scaled out for its displaced jobs, only as far
//! as the waves that the leader committed allow.

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

/// Time that the silent machines of a suspect zone are retained.
const MAX_RETENTION: Micros = Micros::from_millis(15_000);

/// Time that the silent machines of a zone are retained if this owner observes the zone as down
/// but no suspicion is committed. It gives the leader time to commit its decision.
const MAX_LOCAL_RETENTION: Micros = Micros::from_millis(5_000);

/// Time that a move of a running task counts against its team's budget. The owner does not track
/// when a move ends.
const MOVE_TIMEOUT: Micros = Micros::from_millis(60_000);

/// A running task that is being moved back to its zone.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Move {
    team: usize,
    expires_at: Micros,
}

/// Displaced jobs, retained silent machines and moves of running tasks in one partition.
#[derive(Debug)]
pub struct ZoneEvacuation {
    /// Checked settings.
    pub config: Rc<ZoneFailoverConfig>,
    /// States of the zones.
    pub situation: Rc<ZoneSituation>,
    waves: Waves,
    /// Jobs that lost an attempt, or may have lost one, with a zone; each with that zone.
    displaced: BTreeMap<JobId, ZoneId>,
    /// Silent machines of lost zones that may be released in the current wave.
    releasable: BTreeSet<MachineId>,
    /// Time at which this owner learned that a zone is suspect, by zone.
    suspect_since: BTreeMap<ZoneId, Micros>,
    /// Time at which this owner first observed that a zone is down, by zone.
    locally_down_since: BTreeMap<ZoneId, Micros>,
    /// Running tasks that are being moved back to their zone.
    moves: BTreeMap<AttemptKey, Move>,
}

impl ZoneEvacuation {
    /// Creates the state without displaced jobs. Every zone counts as healthy until the first
    /// update.
    pub fn new(config: Rc<ZoneFailoverConfig>) -> Self {
        ZoneEvacuation {
            waves: Waves::new(config.settings.waves.clone()),
            situation: Rc::new(ZoneSituation::healthy(&config)),
            config,
            displaced: BTreeMap::new(),
            releasable: BTreeSet::new(),
            suspect_since: BTreeMap::new(),
            locally_down_since: BTreeMap::new(),
            moves: BTreeMap::new(),
        }
    }

    /// Updates the states of the zones.
    pub fn sync(&mut self, now: Micros, situation: &Rc<ZoneSituation>) {
        if !Rc::ptr_eq(&self.situation, situation) {
            self.situation = situation.clone();
            let suspect = |id: &ZoneId| self.situation.state(id.as_str()) == ZoneState::Suspect;
            self.suspect_since.retain(|id, _| suspect(id));
            for id in self.situation.unhealthy.keys().filter(|id| suspect(id)) {
                self.suspect_since.entry(id.clone()).or_insert(now);
            }
            self.waves.sync(&self.situation.lost());
        }
    }

    /// Marks a job that lost an attempt, or may have lost one, on a machine of a zone as
    /// displaced, if the zone is suspect or lost.
    pub fn displace(&mut self, job: &JobId, zone: &str) {
        let state = self.situation.state(zone);
        if matches!(state, ZoneState::Suspect | ZoneState::Lost) {
            self.displaced.insert(job.clone(), zone.into());
        }
    }

    /// Removes displaced jobs that have ended, and moves that have expired.
    pub fn collect_garbage(&mut self, now: Micros, jobs: &BTreeMap<JobId, Job>) {
        self.displaced.retain(|id, _| jobs.contains_key(id));
        self.moves.retain(|_, task_move| task_move.expires_at > now);
    }

    /// Returns whether any job is displaced.
    pub fn has_displaced(&self) -> bool {
        !self.displaced.is_empty()
    }

    /// Returns the zone that a job was displaced from, or `None` if it is not displaced.
    pub fn displaced_from(&self, job: &JobId) -> Option<&ZoneId> {
        self.displaced.get(job)
    }

    /// Returns the evacuation priority of a job, or `None` if the job is not displaced or its zone
    /// is not being evacuated.
    fn priority(&self, job: &Job, wall_clock: Micros) -> Option<EvacuationPriority> {
        let zone = self.displaced.get(&job.desc.id)?;
        if !self.waves.is_evacuating(zone) {
            return None;
        }
        let mut priority = self.config.order.priority(job, wall_clock);
        priority.admitted = self.waves.is_admitted(zone, &job.desc.id);
        Some(priority)
    }

    /// Orders displaced jobs by their evacuation priority. `jobs` must be in the order of urgency,
    /// the most urgent job first.
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

    /// Returns whether machines may be scaled out for a job. This is false only for a displaced job
    /// that no wave has admitted yet.
    pub fn may_scale_out_for(&self, job: &JobId) -> bool {
        let zone = self.displaced.get(job);
        zone.is_none_or(|zone| self.waves.is_admitted(zone, job))
    }

    /// Returns whether tasks of a job must not be placed in a zone, see
    /// [`ZoneSituation::closed_to`].
    pub fn closed_to(&self, job: &Job, zone: &str, wall_clock: Micros) -> bool {
        !self.situation.unhealthy.is_empty()
            && self
                .situation
                .closed_to(&job.desc, wall_clock.since(job.eligible_since()), zone)
    }

    /// Returns whether a silent machine of a zone must not be released yet.
    pub fn retains(&self, now: Micros, machine: &MachineId, zone: &str) -> bool {
        match self.situation.state(zone) {
            // Guards against releasing the machines of a zone shortly before the leader commits
            // that the zone is suspect.
            ZoneState::Healthy | ZoneState::Probation => self
                .locally_down_since
                .get(zone)
                .is_some_and(|since| now.since(*since) < MAX_LOCAL_RETENTION),
            // The zone may recover soon, with the attempts on its machines still running.
            ZoneState::Suspect => self
                .suspect_since
                .get(zone)
                .is_some_and(|since| now.since(*since) < MAX_RETENTION),
            ZoneState::Lost => !self.releasable.contains(machine),
        }
    }

    /// Records which zones this owner itself observes as down.
    pub fn observe(&mut self, now: Micros, down: &BTreeSet<ZoneId>) {
        self.locally_down_since
            .retain(|zone, _| down.contains(zone));
        for zone in down {
            self.locally_down_since.entry(zone.clone()).or_insert(now);
        }
    }

    /// Determines which silent machines may be released in the current waves, and admits the
    /// displaced jobs for which machines may be scaled out. `silent` lists the silent machines of
    /// each lost zone.
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
        // Jobs of equal priority are admitted in the order in which placement considers them.
        // Otherwise capacity scaled out for one job could repeatedly be taken by another.
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

    /// Returns whether a silent machine must wait for a later wave before it is released.
    pub fn is_held_back(&self, zone: &ZoneId, machine: &MachineId) -> bool {
        self.waves.is_held_back(zone, machine)
    }

    /// Returns the number of waiting displaced tasks of a zone that no wave has admitted yet.
    pub fn tasks_held_back(&self, zone: &ZoneId, jobs: &BTreeMap<JobId, Job>) -> u32 {
        let of_zone = self.displaced.iter().filter(|(_, from)| *from == zone);
        of_zone
            .filter(|(id, _)| !self.waves.is_admitted(zone, id))
            .filter_map(|(id, _)| jobs.get(id).filter(|job| job.wants_machines()))
            .map(|job| job.waiting().len())
            .sum()
    }

    /// Returns the number of running tasks that are being moved back, by index of the team.
    pub fn moves_by_team(&self) -> BTreeMap<usize, u32> {
        let mut moves_by_team = BTreeMap::new();
        for task_move in self.moves.values() {
            *moves_by_team.entry(task_move.team).or_default() += 1;
        }
        moves_by_team
    }

    /// Records that the running attempt of a task is being moved back to its zone.
    pub fn record_move(&mut self, now: Micros, task: AttemptKey, team: usize) {
        let expires_at = now + MOVE_TIMEOUT;
        self.moves.insert(task, Move { team, expires_at });
    }
}
