//! Failback: moves tasks that were evacuated from a zone back to it once the zone has recovered
//! and has room, if moving them saves more than it costs.
//!
//! A task's home is the zone from which its job was evacuated.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::ids::{MachineId, ZoneId};
use crate::jobs::{Job, JobDesc};
use crate::placement;
use crate::workers::{Attempt, AttemptKey, AttemptPhase, Machine, Reservation};
use std::collections::BTreeMap;
use zone_failover::failback::{self, EvacuatedTask};

/// Time for which room at home is reserved for a task that is being stopped elsewhere.
const RESERVATION_TIMEOUT: Micros = Micros::from_millis(20_000);
/// Estimated time that a restart takes besides saving the checkpoint and fetching the image, in
/// seconds.
const RESTART_DURATION_S: f64 = 2.0;
/// Time that a moved task has to stop in addition to its checkpoint's duration, in seconds.
const GRACE_PERIOD_MARGIN_S: f64 = 1.0;
/// Lowest assumed rate at which a machine fetches images. Bounds the estimated fetch time of
/// machines whose rate is unknown.
const MIN_IMAGE_FETCH_GB_PER_S: f64 = 0.01;

/// An evacuated attempt with its machine and its job.
#[derive(Clone, Copy)]
struct EvacuatedAttempt<'a> {
    machine_id: &'a MachineId,
    machine: &'a Machine,
    key: &'a AttemptKey,
    attempt: &'a Attempt,
    job: &'a Job,
}

/// A task that could be moved home, and the machine that it would move to.
struct FailbackCandidate {
    task: EvacuatedTask<(MachineId, AttemptKey)>,
    target: MachineId,
}

impl OwnedPartition {
    /// Stops evacuated tasks that are to move home, if a round of failback is due, and reserves
    /// room for them on machines at home.
    pub(super) fn fail_back(&mut self, now: Micros, wall_clock: Micros) {
        if !self.checks.begin_failback(now) {
            return;
        }
        let Some(evacuation) = &self.zone_evacuation else {
            return;
        };
        let settings = &evacuation.config.settings.failback;
        if !settings.move_running || self.is_being_handed_back() || !settings.is_open(wall_clock) {
            return;
        }
        let recovered = evacuation.situation.recovered.iter();
        let recovered: Vec<ZoneId> = recovered
            .filter(|(_, zone)| wall_clock.since(zone.since) < settings.period)
            .map(|(id, _)| id.clone())
            .collect();
        let candidates = self.failback_candidates(now, &recovered);
        let targets: BTreeMap<AttemptKey, MachineId> = candidates
            .iter()
            .map(|candidate| (candidate.task.key.1.clone(), candidate.target.clone()))
            .collect();
        let tasks = candidates.into_iter().map(|candidate| candidate.task);
        let chosen = failback::choose(tasks.collect(), &evacuation.moves_by_team(), settings);
        for (source, key) in chosen {
            if let Some(target) = targets.get(&key) {
                self.move_task(now, &source, &key, target);
            }
        }
    }

    /// Returns the evacuated tasks for which there is room at home, each with a machine there.
    /// The room that one candidate takes is not available to later ones.
    fn failback_candidates(&self, now: Micros, recovered: &[ZoneId]) -> Vec<FailbackCandidate> {
        let heartbeat_timeout = self.heartbeat_timeout();
        let is_back = |machine: &Machine| {
            let mut zones = recovered.iter();
            zones.any(|zone| zone.as_str() == machine.spec.zone)
                && placement::accepts_tasks(machine, now, heartbeat_timeout)
        };
        let mut room: BTreeMap<&MachineId, Resources> = self
            .machines
            .iter()
            .filter(|(_, machine)| is_back(machine))
            .map(|(id, machine)| (id, free_room(machine, now)))
            .collect();
        let mut candidates = Vec::new();
        for (machine_id, machine) in &self.machines {
            for (key, attempt) in &machine.attempts {
                let Some(job) = self.job_to_move(machine, key, attempt, recovered) else {
                    continue;
                };
                let evacuated = EvacuatedAttempt {
                    machine_id,
                    machine,
                    key,
                    attempt,
                    job,
                };
                let Some(candidate) = self.failback_candidate(now, evacuated, &room) else {
                    continue;
                };
                if let Some(free) = room.get_mut(&candidate.target) {
                    *free -= job.desc.request();
                }
                candidates.push(candidate);
            }
        }
        candidates
    }

    /// Returns the job of an attempt if the attempt was evacuated from a zone that has recovered
    /// and may be moved back there.
    fn job_to_move(
        &self,
        machine: &Machine,
        key: &AttemptKey,
        attempt: &Attempt,
        recovered: &[ZoneId],
    ) -> Option<&Job> {
        let evacuation = self.zone_evacuation.as_ref()?;
        let home = evacuation.displaced_from(&key.task.job)?;
        if !recovered.contains(home) || machine.spec.zone == home.as_str() {
            return None;
        }
        let job = self.jobs.get(&key.task.job)?;
        may_be_moved(job, attempt).then_some(job)
    }

    /// Returns the machine at home that an attempt could move to, with the gain and the cost of
    /// the move. `None` if no machine at home has room, or a price is unknown.
    fn failback_candidate(
        &self,
        now: Micros,
        evacuated: EvacuatedAttempt<'_>,
        room: &BTreeMap<&MachineId, Resources>,
    ) -> Option<FailbackCandidate> {
        let EvacuatedAttempt { attempt, job, .. } = evacuated;
        let desc = &job.desc;
        let is_allowed = |id: &MachineId| {
            self.machines.get(id).is_some_and(|machine| {
                desc.allows(
                    &machine.spec.machine_type,
                    &machine.spec.zone,
                    machine.spec.spot,
                )
            })
        };
        let fits =
            |id: &MachineId, free: &Resources| desc.request().fits_in(free) && is_allowed(id);
        let (target_id, _) = room.iter().find(|(id, free)| fits(id, free))?;
        let target = self.machines.get(*target_id)?;
        let ran_s = attempt
            .running_since
            .map_or(0.0, |since| now.since(since).as_secs());
        let price_here = self.hourly_price(evacuated.machine, desc)?;
        let price_at_home = self.hourly_price(target, desc)?;
        let remaining_s = (desc.estimated_run_time_s - ran_s).max(0.0);
        let fetch_s = desc.image_gb
            / target
                .spec
                .image_fetch_gb_per_s
                .max(MIN_IMAGE_FETCH_GB_PER_S);
        let repeated_s = desc.checkpoint_duration_s + RESTART_DURATION_S + fetch_s;
        let task = EvacuatedTask {
            key: (evacuated.machine_id.clone(), evacuated.key.clone()),
            team: job.team,
            has_started: attempt.running_since.is_some(),
            saves_checkpoints: desc.checkpoint_interval_s > 0.0,
            gain: (price_here - price_at_home) * remaining_s,
            loss: price_at_home * repeated_s,
        };
        let target = (*target_id).clone();
        Some(FailbackCandidate { task, target })
    }

    /// Returns what a task's share of a machine costs per hour. `None` if the machine's type is
    /// unknown.
    fn hourly_price(&self, machine: &Machine, desc: &JobDesc) -> Option<f64> {
        let is_its_type = |candidate: &&MachineType| candidate.name == machine.spec.machine_type;
        let machine_type = self.machine_types.iter().find(is_its_type)?;
        let price = if machine.spec.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        Some(price * desc.request().share_of(&machine.spec.capacity))
    }

    /// Stops an attempt on `source` and reserves room for its task on `target`.
    fn move_task(&mut self, now: Micros, source: &MachineId, key: &AttemptKey, target: &MachineId) {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return;
        };
        let team = job.team;
        let grace_period_s = job.desc.checkpoint_duration_s + GRACE_PERIOD_MARGIN_S;
        let reservation = Reservation {
            job: key.task.job.clone(),
            request: job.desc.request(),
            count: 1,
            until: now + RESERVATION_TIMEOUT,
        };
        let Some(machine) = self.machines.get_mut(source) else {
            return;
        };
        machine.stop(grace_period_s, |other| other == key);
        self.direct_commands.request(source);
        if let Some(machine) = self.machines.get_mut(target) {
            machine.reservations.add(reservation);
        }
        if let Some(evacuation) = &mut self.zone_evacuation {
            evacuation.record_move(now, key.clone(), team);
        }
        tracing::info!(partition = %self.id(), job = %key.task.job, task = %key.task, attempt = %key.attempt, machine = %source, %target, "task failback started");
    }
}

/// Returns the capacity of a machine that is neither used nor reserved.
fn free_room(machine: &Machine, now: Micros) -> Resources {
    let mut reserved = Resources::default();
    for reservation in machine.reservations.active(now) {
        reserved += reservation.resources();
    }
    machine.spec.capacity - machine.load.summed - reserved
}

/// Returns whether an attempt may be stopped and started in another zone. Jobs whose tasks depend
/// on each other's zones are not moved.
fn may_be_moved(job: &Job, attempt: &Attempt) -> bool {
    !job.desc.single_zone
        && !job.desc.anti_affinity
        && !job.is_ended()
        && !attempt.is_stopping()
        && !attempt.is_abandoned()
        && matches!(attempt.phase, AttemptPhase::Pulling | AttemptPhase::Running)
}
