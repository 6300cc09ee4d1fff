//! Zones in an owner's partition: what it sees of them, giving up silent machines of lost ones
//! in waves, and moving running work home.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::ids::{JobId, MachineId, ZoneId};
use crate::jobs::{Job, JobDesc};
use crate::placement;
use crate::workers::{Attempt, AttemptKey, AttemptPhase, Machine, Reservation};
use crate::zones::{ZoneEvacuation, ZoneFailoverConfig, ZoneSituation};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use zone_failover::evacuation::{EvacuationPriority, SilentMachine};
use zone_failover::failback::{self, EvacuatedTask};
use zone_failover::health::{Condition, ZoneObservation, ZoneState};

/// Reports come within a quarter of their interval; a machine that is later than that, and
/// the time that a report takes, is silent.
const SILENT_REPORTS: f64 = 1.4;
/// Shorter than this may be a busy moment.
const LEAST_SILENCE: Micros = Micros::from_millis(3_000);
/// A machine that has not reported since a failover has to find its way here first.
const LEAST_SILENCE_AFTER_TAKE_OVER: Micros = Micros::from_millis(5_000);
/// Between two looks at running work that may be moved home.
const MOVE_EVERY: Micros = Micros::from_millis(5_000);
/// Room at home is kept so long for a task that is stopped elsewhere.
const HOME_KEPT: Micros = Micros::from_millis(20_000);
/// Stopping and starting once more costs so much besides saving and fetching the image.
const RESTART_S: f64 = 2.0;

/// What an owner sees of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MachineCounts {
    /// Machines that have been up.
    pub machines: u32,
    /// Those of them that are silent.
    pub silent: u32,
    /// What waits for a further wave of evacuation.
    pub waiting: u32,
}

/// A task that could go home, and where to.
struct Homeward {
    task: EvacuatedTask<(MachineId, AttemptKey)>,
    home: MachineId,
}

impl OwnedPartition {
    /// Turns zone failover on, and tells how the zones stand.
    pub fn update_zones(
        &mut self,
        now: Micros,
        config: &Rc<ZoneFailoverConfig>,
        situation: &Rc<ZoneSituation>,
    ) {
        let evacuation = self
            .zone_evacuation
            .get_or_insert_with(|| ZoneEvacuation::new(config.clone()));
        if !Rc::ptr_eq(&evacuation.situation, situation) {
            // Zones open and close for work that waits.
            self.pass_pending = true;
        }
        evacuation.sync(now, situation);
    }

    /// Whether a machine's zone is lost: what boots there may not come up.
    pub(super) fn is_in_lost_zone(&self, m: &Machine) -> bool {
        let state = |evacuation: &ZoneEvacuation| evacuation.situation.state(&m.spec.zone);
        self.zone_evacuation.as_ref().map(state) == Some(ZoneState::Lost)
    }

    /// Waiting tasks that may run nowhere but in a lost zone.
    pub(super) fn bound_to_lost_zones(&self) -> u32 {
        let Some(evacuation) = &self.zone_evacuation else {
            return 0;
        };
        let is_lost = |zone: &String| evacuation.situation.state(zone) == ZoneState::Lost;
        let bound =
            |job: &&Job| job.wants_machines() && job.desc.zone.as_ref().is_some_and(is_lost);
        let waiting = self.jobs.values().filter(bound);
        waiting.map(|job| job.waiting().len()).sum()
    }

    /// How long a machine that reports regularly may be unheard.
    fn longest_gap(&self) -> Micros {
        self.reports_of(SILENT_REPORTS).max(LEAST_SILENCE)
    }

    pub(super) fn is_silent(&self, now: Micros, m: &Machine) -> bool {
        let least = self.longest_gap();
        match m.last_contact_at() {
            Some(heard) => now.since(heard.max(self.listening).max(m.added_at())) > least,
            None => {
                let least = least.max(LEAST_SILENCE_AFTER_TAKE_OVER);
                m.is_unconfirmed() && now.since(m.added_at().max(self.listening)) > least
            }
        }
    }

    /// Whether silence says something about machines: not if it may be our own.
    fn can_tell_of_zones(&self, now: Micros) -> bool {
        let listens = now.since(self.listening.max(self.granted_at)) > self.longest_gap();
        let hears = now.since(self.last_report) < LEAST_SILENCE;
        listens && (hears || self.machines.is_empty())
    }

    /// What is seen of the zones; nothing if it may be this controller that is cut off.
    pub fn zone_counts(&self, now: Micros) -> BTreeMap<ZoneId, MachineCounts> {
        let mut counts: BTreeMap<ZoneId, MachineCounts> = BTreeMap::new();
        if !self.can_tell_of_zones(now) {
            return counts;
        }
        let Some(evacuation) = &self.zone_evacuation else {
            return counts;
        };
        for zone in evacuation.situation.lost().into_keys() {
            let waiting = evacuation.tasks_held_back(&zone, &self.jobs);
            counts.entry(zone).or_default().waiting = waiting;
        }
        for (id, m) in &self.machines {
            let has_been_up = m.last_contact_at().is_some() || m.is_unconfirmed();
            if !has_been_up || !m.is_active() {
                continue;
            }
            let zone = ZoneId::from(m.spec.zone.as_str());
            let is_silent = self.is_silent(now, m);
            let is_held_back = is_silent && evacuation.is_held_back(&zone, id);
            let of_zone = counts.entry(zone).or_default();
            of_zone.machines += 1;
            of_zone.silent += u32::from(is_silent);
            of_zone.waiting += u32::from(is_held_back);
        }
        counts
    }

    /// An attempt of a job was lost with a machine.
    pub(super) fn displace(&mut self, job: &JobId, zone: &str) {
        if let Some(evacuation) = &mut self.zone_evacuation {
            evacuation.displace(job, zone);
        }
    }

    /// Machines of which nothing is known since a failover are silent with their zone: any
    /// job that an earlier owner may have started there may have lost an attempt.
    fn displace_unconfirmed(&mut self) {
        let (Some(evacuation), Some(recovery)) = (&mut self.zone_evacuation, &self.recovery) else {
            return;
        };
        for kind in &recovery.silent {
            if evacuation.situation.state(&kind.zone) == ZoneState::Healthy {
                continue;
            }
            for (id, job) in &self.jobs {
                let may_have_been_there = job
                    .may_have_begun_before(recovery.term, recovery.granted)
                    && job.may_have_been_on(&kind.machine_type, &kind.zone, kind.spot);
                if may_have_been_there {
                    evacuation.displace(id, &kind.zone);
                }
            }
        }
    }

    /// What time and the leader's waves change.
    pub(super) fn look_at_zones(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        if self.zone_evacuation.is_none() {
            return;
        }
        self.displace_unconfirmed();
        let silent = self.silent_of_lost(now, wall_clock);
        let down = self.zones_down(now);
        if let Some(evacuation) = &mut self.zone_evacuation {
            evacuation.collect_garbage(now, &self.jobs);
            evacuation.observe(now, &down);
            evacuation.advance(wall_clock, silent, &self.jobs);
        }
        if now.since(self.last_move_home) >= MOVE_EVERY {
            self.last_move_home = now;
            self.move_home(now, wall_clock, fleet);
        }
    }

    /// The zones that are down as far as this owner sees; none if all of them are.
    fn zones_down(&self, now: Micros) -> BTreeSet<ZoneId> {
        let Some(evacuation) = &self.zone_evacuation else {
            return BTreeSet::new();
        };
        let counts = self.zone_counts(now);
        let is_down = |counts: &MachineCounts| {
            let seen = ZoneObservation {
                machines: counts.machines,
                silent: counts.silent,
                ..ZoneObservation::default()
            };
            seen.condition(&evacuation.config.settings.health) == Condition::Down
        };
        let down: BTreeSet<ZoneId> = counts
            .iter()
            .filter(|(_, counts)| is_down(counts))
            .map(|(zone, _)| zone.clone())
            .collect();
        if down.len() < counts.len() {
            down
        } else {
            BTreeSet::new()
        }
    }

    /// The silent machines of lost zones, with the priority of what may run on them.
    fn silent_of_lost(
        &self,
        now: Micros,
        wall_clock: Micros,
    ) -> BTreeMap<ZoneId, Vec<SilentMachine>> {
        let mut silent: BTreeMap<ZoneId, Vec<SilentMachine>> = BTreeMap::new();
        let Some(evacuation) = &self.zone_evacuation else {
            return silent;
        };
        let lost = evacuation.situation.lost();
        if lost.is_empty() {
            return silent;
        }
        let priority = |job: &Job| evacuation.config.order.priority(job, wall_clock);
        let old = |job: &&Job| job.may_have_begun_before(self.term, self.revision);
        let of_old = first(self.jobs.values().filter(old).map(priority));
        for (id, m) in &self.machines {
            let Some((zone, _)) = lost.get_key_value(m.spec.zone.as_str()) else {
                continue;
            };
            if !m.is_active() || !self.is_silent(now, m) {
                continue;
            }
            let on_it = m
                .attempts
                .keys()
                .filter_map(|key| self.jobs.get(&key.task.job));
            let highest = if m.is_unconfirmed() {
                of_old
            } else {
                first(on_it.map(priority))
            };
            let machine = SilentMachine {
                id: id.clone(),
                priority: highest,
            };
            silent.entry(zone.clone()).or_default().push(machine);
        }
        silent
    }

    /// Stops running tasks elsewhere for which there is room in their zone again.
    fn move_home(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        let Some(evacuation) = &self.zone_evacuation else {
            return;
        };
        let settings = &evacuation.config.settings.failback;
        if !settings.move_running || self.is_being_handed_back() || !settings.is_open(wall_clock) {
            return;
        }
        let period = settings.period;
        let recent = |since: Micros| wall_clock.since(since) < period;
        let back: Vec<ZoneId> = evacuation
            .situation
            .returned
            .iter()
            .filter(|(_, zone)| recent(zone.since))
            .map(|(id, _)| id.clone())
            .collect();
        let homeward = self.homeward(now, wall_clock, fleet, &back);
        let homes: BTreeMap<AttemptKey, MachineId> = homeward
            .iter()
            .map(|h| (h.task.key.1.clone(), h.home.clone()))
            .collect();
        let tasks = homeward.into_iter().map(|h| h.task).collect();
        let chosen = failback::choose(tasks, &evacuation.moving(), settings);
        for (from, task) in chosen {
            if let Some(home) = homes.get(&task) {
                self.move_task(now, &from, &task, home);
            }
        }
    }

    /// Evacuated tasks for which there is room at home, each with a machine of its own share
    /// of that room.
    fn homeward(
        &self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        back: &[ZoneId],
    ) -> Vec<Homeward> {
        let Some(evacuation) = &self.zone_evacuation else {
            return Vec::new();
        };
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let mut room: BTreeMap<&MachineId, Resources> = self
            .machines
            .iter()
            .filter(|(_, m)| back.iter().any(|zone| zone.as_str() == m.spec.zone))
            .filter(|(_, m)| placement::accepts_tasks(m, now, snapshot.heartbeat_timeout))
            .map(|(id, m)| (id, m.spec.capacity - m.load.summed - reserved(m, now)))
            .collect();
        let mut homeward = Vec::new();
        for (from, m) in &self.machines {
            for (key, attempt) in &m.attempts {
                let of_zone = evacuation.displaced_from(&key.task.job);
                let Some(zone) = of_zone.filter(|z| back.contains(z)) else {
                    continue;
                };
                let is_home = m.spec.zone == zone.as_str();
                let Some(job) = self.jobs.get(&key.task.job).filter(|_| !is_home) else {
                    continue;
                };
                if !may_be_moved(job, attempt) {
                    continue;
                }
                let Some((task, home)) = self.way_home(now, key, (from, m), job, &room) else {
                    continue;
                };
                if let Some(free) = room.get_mut(&home) {
                    *free -= job.desc.request();
                }
                homeward.push(Homeward { task, home });
            }
        }
        homeward
    }

    /// Where a task could go home to, and what that gains and costs.
    fn way_home(
        &self,
        now: Micros,
        key: &AttemptKey,
        (from, at): (&MachineId, &Machine),
        job: &Job,
        room: &BTreeMap<&MachineId, Resources>,
    ) -> Option<(EvacuatedTask<(MachineId, AttemptKey)>, MachineId)> {
        let desc = &job.desc;
        let fits = |id: &MachineId, free: &Resources| {
            let allowed =
                |m: &Machine| desc.allows(&m.spec.machine_type, &m.spec.zone, m.spec.spot);
            desc.request().fits_in(free) && self.machines.get(id).is_some_and(allowed)
        };
        let (home, _) = room.iter().find(|(id, free)| fits(id, free))?;
        let home_machine = self.machines.get(*home)?;
        let attempt = at.attempts.get(key)?;
        let ran = attempt
            .running_since
            .map_or(0.0, |since| now.since(since).as_secs());
        let here = self.hourly(at, desc)?;
        let there = self.hourly(home_machine, desc)?;
        let left_s = (desc.estimated_run_time_s - ran).max(0.0);
        let fetch_s = desc.image_gb / home_machine.spec.image_fetch_gb_per_s.max(0.01);
        let again_s = desc.checkpoint_duration_s + RESTART_S + fetch_s;
        let task = EvacuatedTask {
            key: (from.clone(), key.clone()),
            team: job.team,
            begun: attempt.running_since.is_some(),
            saves: desc.checkpoint_interval_s > 0.0,
            gain: (here - there) * left_s,
            loss: there * again_s,
        };
        Some((task, (*home).clone()))
    }

    /// What a task's share of a machine costs in an hour.
    fn hourly(&self, m: &Machine, desc: &JobDesc) -> Option<f64> {
        let of_type = |t: &&MachineType| t.name == m.spec.machine_type;
        let machine_type = self.types.iter().find(of_type)?;
        let price = if m.spec.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        Some(price * desc.request().share_of(&m.spec.capacity))
    }

    fn move_task(&mut self, now: Micros, from: &MachineId, key: &AttemptKey, home: &MachineId) {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return;
        };
        let (team, request) = (job.team, job.desc.request());
        let leeway_s = job.desc.checkpoint_duration_s + 1.0;
        let Some(m) = self.machines.get_mut(from) else {
            return;
        };
        m.stop(leeway_s, |k| k == key);
        self.pending_commands.insert(from.clone());
        if let Some(m) = self.machines.get_mut(home) {
            let until = now + HOME_KEPT;
            m.reservations.add(Reservation {
                job: key.task.job.clone(),
                request,
                count: 1,
                until,
            });
        }
        if let Some(evacuation) = &mut self.zone_evacuation {
            evacuation.moves(now, key.clone(), team);
        }
        tracing::info!(partition = %self.id, task = %key.task, %from, %home, "zone: moving a running task home");
    }
}

/// The one that goes first.
fn first(priorities: impl Iterator<Item = EvacuationPriority>) -> Option<EvacuationPriority> {
    priorities.min_by(EvacuationPriority::order)
}

/// What is kept on a machine for jobs that others were stopped for.
fn reserved(m: &Machine, now: Micros) -> Resources {
    let mut sum = Resources::default();
    for reservation in m.reservations.active(now) {
        sum += reservation.resources();
    }
    sum
}

/// Whether an attempt may be stopped to be started elsewhere: jobs whose tasks are bound to
/// each other's zones stay together.
fn may_be_moved(job: &Job, attempt: &Attempt) -> bool {
    !job.desc.single_zone
        && !job.desc.anti_affinity
        && !job.is_ended()
        && !attempt.is_stopping()
        && !attempt.is_abandoned()
        && matches!(attempt.phase, AttemptPhase::Pulling | AttemptPhase::Running)
}
