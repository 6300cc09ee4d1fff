//! A partition in its owner's hands: its teams' jobs, its machines, and what is
//! decided about them. Everything that must be decided together (a team's
//! limit, zones, one machine per task) is decided here, in one place.

mod health;
mod heartbeats;
mod reconcile;
mod records;
mod starts;
mod zones;

pub use zones::MachineCounts;

use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision, Term};
use crate::jobs::{Job, JobState};
use crate::partitions::{PartitionOwnerRecord, ReleaseReason, ShardRecord};
use crate::placement::{
    self, CapacityRequest, ConstrainedDemand, FailoverRecovery, PendingMachines, Queues,
    SchedulingSnapshot, SilentMachines,
};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::client::TokenBucket;
use crate::store::{Compare, Mutation};
use crate::watch_cache::WatchCache;
use crate::workers::{AttemptKey, AttemptPhase, DirectCommand, Machine, TaskDemand};
use crate::zones::ZoneEvacuation;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A write of this owner, as it comes back with its answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Jobs that are over.
    Ends {
        /// How each of them ended.
        ends: Vec<(JobId, JobState)>,
        /// Time of day that is recorded with it.
        at: Micros,
        /// Attempts to be reaped once it is stored.
        reap: Vec<(MachineId, AttemptKey)>,
    },
    /// Pages of jobs' progress.
    Progress {
        /// The jobs, and which of their pages.
        jobs: Vec<(JobId, Vec<u32>)>,
        /// Attempts to be reaped once it is stored.
        reap: Vec<(MachineId, AttemptKey)>,
    },
    /// Machines that are given up.
    GiveUp(Vec<MachineId>),
    /// Machines that are used from now on.
    Open(Vec<MachineId>),
}

/// What an owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write to the store.
    CompareAndSwap(Write, Vec<Compare>, Vec<Mutation>),
    /// Send a direct command to this address.
    SendDirectCommand(MachineId, String, DirectCommand),
    /// How did this job end, and what did it take?
    ReadEnded(JobId),
}

/// A partition in the hands of this controller.
pub struct OwnedPartition {
    /// Which partition.
    pub id: PartitionId,
    /// The term of its grant.
    pub term: Term,
    revision: Revision,
    label: Label,
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    teams: Vec<usize>,
    /// Since when it is held.
    pub granted_at: Micros,
    /// The partition's machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The jobs of the partition's teams.
    pub jobs: BTreeMap<JobId, Job>,
    /// The teams' sums over the machines' loads, changed with each of them.
    usage: UsageByTeam,
    recovery: Option<FailoverRecovery>,
    /// A machine of the failover has reported: once for all that do in a tick, since
    /// counting walks over the partition.
    settled: bool,
    /// Since when all machines of the failover are known: idleness counts from there.
    recovered_at: Micros,
    counter: u64,
    /// Ends that are not stored yet, by job: reaped once they are.
    unreaped: BTreeMap<JobId, Vec<(MachineId, AttemptKey)>>,
    /// Jobs that machines show and that are not known here: over, most likely.
    unknown_jobs: BTreeMap<JobId, UnknownJob>,
    /// Jobs that failed again and again; some may have got over it since.
    failing: BTreeSet<JobId>,
    /// Jobs that may have something to be stored.
    dirty: BTreeSet<JobId>,
    /// Progress gives way to all other changes.
    progress: TokenBucket,
    /// Of that, whether a job has begun to run at all, which only users see. Guards
    /// against a flood of small jobs whose beginnings keep their own ends from the store.
    display: TokenBucket,
    /// Machines that may have to be told something directly.
    pending_commands: BTreeSet<MachineId>,
    directs_out: usize,
    /// The order of waiting jobs, as the last pass over the partition left it.
    queues: Queues,
    /// Classes that wait and have little choice of machines.
    constrained: ConstrainedDemand,
    /// Machines that freed room is held on.
    held: Vec<MachineId>,
    writing_machines: bool,
    /// Being handed back: no order leaves from the moment at which that is asked for.
    resigning: Option<Resigning>,
    /// Machines may have been heard that are not recorded as used.
    to_open: bool,
    /// Something changed that a pass over the partition should look at.
    pass_pending: bool,
    next_pass: Micros,
    last_preempt: Micros,
    last_look: Micros,
    last_tick: Micros,
    /// Since when we have not been late ourselves: silence before says nothing about
    /// machines, nor about our being cut off from them.
    listening: Micros,
    /// How often we have been late, for operators.
    late_ticks: u32,
    last_heard: Micros,
    /// When a machine last reported by itself.
    last_report: Micros,
    last_give_up: Micros,
    last_open: Micros,
    /// Machines that were compared with a class, for counting what passes cost.
    pub machines_compared: usize,
    /// The machine types, for their prices.
    types: Rc<[MachineType]>,
    /// None: zone failover is off.
    zone_evacuation: Option<ZoneEvacuation>,
    last_move_home: Micros,
}

/// A job that is not known here, although a machine has an attempt of it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UnknownJob {
    /// Its record is to be read, from then on.
    Read(Micros),
    Reading,
    /// None: the record does not say.
    Known(Option<TaskDemand>),
}

/// A hand-back that is not settled yet.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Resigning {
    /// When it was last asked for; none: it had no answer, and is asked for again.
    out: Option<Micros>,
    /// One of the requests had no answer: it may still be carried out.
    unsure: bool,
}

/// What does not depend on messages is looked at this often.
const LOOK: Micros = Micros::from_millis(500);
/// Ticks that come later than this say that we have too little processor time: reports
/// wait unread for longer than their senders do (measured: 0.4 to 0.9 s between ticks
/// while four reports of five were given up, below 0.25 s otherwise).
const LATE: Micros = Micros::from_millis(400);

impl OwnedPartition {
    /// A partition that has just been granted, still empty.
    pub fn new(
        partition: PartitionId,
        rec: &PartitionOwnerRecord,
        revision: Revision,
        settings: &Rc<Settings>,
        policy: &Rc<Policy>,
        now: Micros,
    ) -> Self {
        let teams: Vec<usize> = rec.teams.iter().filter_map(|t| settings.team(t)).collect();
        // All partitions together leave most changes to what can't wait.
        let rate =
            settings.platform.state.lowest_write_rps() / policy.partition_count(settings) as f64;
        OwnedPartition {
            id: partition,
            term: rec.term,
            revision,
            label: settings.label.clone(),
            settings: settings.clone(),
            policy: policy.clone(),
            granted_at: now,
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            usage: UsageByTeam::new(&teams),
            teams,
            recovery: None,
            settled: false,
            recovered_at: now,
            counter: 0,
            unreaped: BTreeMap::new(),
            unknown_jobs: BTreeMap::new(),
            failing: BTreeSet::new(),
            dirty: BTreeSet::new(),
            progress: TokenBucket::new(rate * PROGRESS_PART, now),
            display: TokenBucket::new(rate * DISPLAY_PART, now),
            pending_commands: BTreeSet::new(),
            directs_out: 0,
            queues: Queues::new(),
            constrained: ConstrainedDemand::default(),
            held: Vec::new(),
            writing_machines: false,
            resigning: None,
            to_open: true,
            pass_pending: true,
            next_pass: now,
            last_preempt: now,
            last_look: now,
            last_tick: now,
            listening: now,
            late_ticks: 0,
            last_heard: now,
            last_report: now,
            last_give_up: Micros::ZERO,
            last_open: Micros::ZERO,
            machines_compared: 0,
            types: Rc::new([]),
            zone_evacuation: None,
            last_move_home: now,
        }
    }

    /// The store has cancelled a job: nothing more of it starts.
    pub fn cancel_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id).filter(|j| !j.is_ended()) {
            job.mark_ended();
            self.stop_job(id);
            self.pass_pending = true;
        }
    }

    /// Stops all that a cancelled job has, or may have, on machines.
    fn stop_job(&mut self, id: &JobId) {
        for (at, m) in &mut self.machines {
            if !m.attempts.keys().any(|key| key.task.job == *id) {
                continue;
            }
            m.stop(0.0, |key| key.task.job == *id);
            for (key, a) in &mut m.attempts {
                a.may_be_reaped |= key.task.job == *id;
            }
            self.pending_commands.insert(at.clone());
        }
    }

    /// Whether machines of the failover are still to report.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// An attempt is over without a result.
    fn requeue(&mut self, key: &AttemptKey, on: &MachineId) {
        if let Some(job) = self.jobs.get_mut(&key.task.job)
            && job.active().get(&key.task.index) == Some(on)
        {
            job.requeue(key.task.index);
            self.dirty.insert(key.task.job.clone());
        }
        self.pass_pending = true;
    }

    /// The attempts on a machine changed: so do the sums.
    fn update_usage(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            let load = m.compute_load();
            if load != m.load {
                self.usage.remove(&m.load, m.spec.capacity);
                self.usage.add(&load, m.spec.capacity);
                m.load = load;
            }
        }
    }

    fn snapshot<'a>(
        &'a self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
    ) -> SchedulingSnapshot<'a> {
        SchedulingSnapshot {
            settings: &self.settings,
            fleet,
            now,
            wall_clock,
            jobs: &self.jobs,
            machines: &self.machines,
            teams: &self.teams,
            usage: &self.usage,
            recovery: self.recovery.as_ref(),
            constrained: &self.constrained,
            failing: self
                .failing
                .iter()
                .filter_map(|id| self.jobs.get(id))
                .filter(|job| job.is_failing())
                .map(|job| (job.team, job.failing_resources()))
                .collect(),
            heartbeat_timeout: self.heard_within(),
            zone_evacuation: self.zone_evacuation.as_ref(),
        }
    }

    /// What time alone changes.
    pub fn tick(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        if now.since(self.last_tick) > LATE {
            self.listening = now;
            self.late_ticks += 1;
        }
        self.last_tick = now;
        if now.since(self.last_look) >= LOOK {
            self.last_look = now;
            self.run_periodic_checks(now);
            self.look_at_zones(now, wall_clock, fleet);
        }
        if std::mem::take(&mut self.settled) {
            self.count_unconfirmed(now);
        }
        self.decide(now, wall_clock, fleet);
    }

    /// Leases that ran out, machines that should be asked for a sign of life, and
    /// those that the cloud is about to take.
    fn run_periodic_checks(&mut self, now: Micros) {
        let over_after = self.settings.worker_lease_timeout();
        let (intro, quiet, silence) = (
            now.since(self.granted_at) > TOKEN_COMMAND_AFTER,
            self.reports_of(1.4) + LOOK,
            self.silence(),
        );
        let jobs = &self.jobs;
        self.failing
            .retain(|id| jobs.get(id).is_some_and(Job::is_failing));
        let (mut over, mut ended) = (Vec::new(), Vec::new());
        let mut displaced: Vec<(JobId, String)> = Vec::new();
        for (id, m) in &mut self.machines {
            let busy =
                m.is_unconfirmed() || m.attempts.values().any(|t| t.phase != AttemptPhase::Exited);
            if busy && now.since(m.lease_started_at()) > over_after {
                tracing::info!(partition = %self.id, machine = %id, "worker's lease is over");
                let keys = m.expire();
                displaced.extend(
                    keys.iter()
                        .map(|k| (k.task.job.clone(), m.spec.zone.clone())),
                );
                ended.extend(keys.into_iter().map(|k| (k, id.clone())));
                over.push(id.clone());
            }
            let since = m.last_contact_at().map_or(Micros::ZERO, |h| now.since(h));
            if since > quiet && since < silence {
                // Better to know before something is started there.
                m.request_probe();
            }
            if m.needs_probe() || m.is_unconfirmed() && intro {
                self.pending_commands.insert(id.clone());
            }
            if let Some(at) = m.preempted_at() {
                // What saves does so just before the cloud takes the machine.
                let saves = |t: &crate::workers::Attempt| {
                    t.desc
                        .as_ref()
                        .map(|d| (d.checkpoint_interval_s, d.checkpoint_duration_s))
                };
                let due: Vec<(AttemptKey, f64)> = m
                    .attempts
                    .iter()
                    .filter(|(_, t)| t.phase == AttemptPhase::Running && !t.is_stopping())
                    .filter_map(|(k, t)| Some((k, saves(t)?)))
                    .filter(|(_, (mark, save))| {
                        *mark > 0.0 && at.since(now) < Micros::from_secs(save + NOTICE_MARGIN_S)
                    })
                    .map(|(k, (_, save))| (k.clone(), save))
                    .collect();
                for (key, save) in due {
                    m.stop(save, |k| *k == key);
                    self.pending_commands.insert(id.clone());
                }
            }
        }
        for id in over {
            self.update_usage(&id);
        }
        for (key, id) in ended {
            self.requeue(&key, &id);
        }
        for (job, zone) in displaced {
            self.displace(&job, &zone);
        }
        self.count_unconfirmed(now);
        // Back-off ends, slack shrinks, and machines change without any message.
        self.pass_pending |= self.jobs.values().any(Job::wants_machines);
    }

    /// The room that waiting work lacks.
    pub fn capacity_requests(
        &self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
    ) -> Vec<CapacityRequest> {
        let mut coming: Vec<PendingMachines<'_>> = Vec::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.last_contact_at().is_none() && m.is_active() && m.is_schedulable())
            .filter(|m| !self.is_in_lost_zone(m))
        {
            let alike = |c: &&mut PendingMachines<'_>| {
                c.machine_type == m.spec.machine_type
                    && c.zone == m.spec.zone
                    && c.spot == m.spec.spot
            };
            match coming.iter_mut().find(alike) {
                Some(c) => c.count += 1,
                None => coming.push(PendingMachines {
                    capacity: m.spec.capacity,
                    machine_type: &m.spec.machine_type,
                    zone: &m.spec.zone,
                    spot: m.spec.spot,
                    count: 1,
                }),
            }
        }
        placement::capacity_requests(
            &self.snapshot(now, wall_clock, fleet),
            &coming,
            self.policy.scale_out_horizon,
        )
    }

    /// A line for operators on how the partition is used.
    pub fn log_usage(&self, now: Micros) {
        let heard = self.heard_within();
        let usable = |m: &&Machine| placement::accepts_tasks(m, now, heard);
        let cores =
            |ms: &mut dyn Iterator<Item = &Machine>| ms.map(|m| m.spec.capacity.cores).sum::<f64>();
        let used: f64 = self.machines.values().map(|m| m.load.summed.cores).sum();
        let up = cores(&mut self.machines.values().filter(usable));
        let booting = cores(
            &mut self
                .machines
                .values()
                .filter(|m| m.last_contact_at().is_none()),
        );
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| j.wants_machines()) {
            *waiting.entry(&j.desc.class).or_default() += j.waiting().len();
        }
        let bound_to_lost_zones = self.bound_to_lost_zones();
        let behind_others = self.jobs.values().filter(|j| !j.is_ready()).count();
        tracing::info!(partition = %self.id, term = %self.term, machines = self.machines.len(), up, booting, used, ?waiting, jobs = self.jobs.len(), behind_others, bound_to_lost_zones, pending_commands = self.pending_commands.len(), machines_compared = self.machines_compared, late_ticks = self.late_ticks, "use");
    }

    /// Each team's heaviness, for the sums; they are made anew from the machines'
    /// loads each time, so that no rounding adds up.
    pub fn team_heaviness(&mut self, fleet: Resources) -> BTreeMap<String, f64> {
        let mut weights = UsageByTeam::new(&self.teams);
        for m in self.machines.values() {
            weights.add(&m.load, m.spec.capacity);
        }
        self.usage = weights;
        let all = self.settings.guarantees();
        let of = |t: &usize| {
            let team = &self.settings.platform.teams[*t];
            let heaviness = self.usage.heaviness(*t, team.guarantee(), all, fleet);
            (team.name.clone(), heaviness)
        };
        self.teams.iter().map(of).collect()
    }
}

/// Saving takes as long as the job says; orders and reports take this much more.
const NOTICE_MARGIN_S: f64 = 3.0;
/// Machines of a failover report by themselves; those that have not by then are
/// spoken to.
const TOKEN_COMMAND_AFTER: Micros = Micros::from_millis(2_500);
/// The part of the store's changes that progress may take, over all partitions.
const PROGRESS_PART: f64 = 0.35;
/// The part that whether jobs run may take.
const DISPLAY_PART: f64 = 0.1;

#[cfg(test)]
mod tests;
