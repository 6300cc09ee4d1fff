//! Reconciliation with the store: updates the owner's machines, jobs, progress and job
//! dependencies from the watch cache.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::ids::{JobId, MachineId, Revision};
use crate::jobs::dependencies::{DependencyGraph, Readiness};
use crate::jobs::{Job, JobRecord, tasks_per_page};
use crate::partitions::MachineRecord;
use crate::store::Versioned;
use crate::watch_cache::WatchCache;
use crate::workers::{Machine, MachineSpec};
use std::collections::BTreeSet;

/// Rate at which a machine of an unknown type is assumed to fetch images.
const DEFAULT_IMAGE_FETCH_GB_PER_S: f64 = 1.0;

/// Why a shard of machine records is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardRead {
    /// The partition has just been granted: the shard's used machines may run any task of the
    /// earlier owner.
    AtGrant,
    /// The shard may have changed in the store.
    AfterChange,
}

impl OwnedPartition {
    /// Loads the partition's machines and jobs from the cache when the partition is granted. The
    /// attempts that are running are known only from heartbeats: until a machine has sent one
    /// under this owner's fencing token, it may run any task of the earlier owner.
    pub fn fail_over(&mut self, now: Micros, cache: &WatchCache, types: &[MachineType]) {
        self.scheduling.set_machine_types(types);
        self.machine_types = types.into();
        let shards: Vec<u32> = cache.shards(self.id()).map(|(shard, ..)| shard).collect();
        for shard in shards {
            self.reconcile_shard(now, shard, cache, types, ShardRead::AtGrant);
        }
        let jobs: Vec<JobId> = cache.jobs.keys().cloned().collect();
        for id in jobs {
            self.reconcile_job(&id, cache);
        }
    }

    /// Reconciles with the whole cache after the store was read again from the start while this
    /// controller kept the partition.
    pub fn reload(&mut self, now: Micros, cache: &WatchCache, types: &[MachineType]) {
        let known = self.machines.values().map(|machine| machine.spec.shard);
        let stored = cache.shards(self.id()).map(|(shard, ..)| shard);
        let shards: BTreeSet<u32> = known.chain(stored).collect();
        for shard in shards {
            self.reconcile_shard(now, shard, cache, types, ShardRead::AfterChange);
        }
        let jobs: BTreeSet<JobId> = self.jobs.keys().chain(cache.jobs.keys()).cloned().collect();
        for id in jobs {
            self.reconcile_job(&id, cache);
        }
        for (id, page) in cache.progress_pages.keys() {
            self.reconcile_progress_page(id, *page, cache);
        }
    }

    /// Reconciles the machines with the record of their shard in the store.
    pub fn reconcile_shard(
        &mut self,
        now: Micros,
        shard: u32,
        cache: &WatchCache,
        types: &[MachineType],
        read: ShardRead,
    ) {
        self.remove_lost_machines(shard, cache);
        let Some(Versioned { revision, record }) = cache.machine_shards.get(&(self.id(), shard))
        else {
            return;
        };
        let in_use = record.0.iter();
        for (id, record) in in_use.filter(|(_, record)| record.release_reason.is_none()) {
            match self.machines.get_mut(id) {
                Some(machine) => {
                    machine.spec.shard = shard;
                    machine.used |= record.used;
                    machine.record_shard_revision(*revision);
                }
                None => {
                    let machine = self.machine_of(now, shard, record, types);
                    self.add_machine(id, machine, read);
                }
            }
        }
        self.update_recovery(now);
        self.scheduling.request_pass();
    }

    /// Adds a machine to the partition.
    fn add_machine(&mut self, id: &MachineId, mut machine: Machine, read: ShardRead) {
        machine.set_unconfirmed(read == ShardRead::AtGrant && machine.used);
        machine.load = machine.compute_load();
        self.usage.add(&machine.load, machine.spec.capacity);
        self.machines.insert(id.clone(), machine);
    }

    /// Removes a shard's machines that are not recorded in the partition any more, and requeues
    /// their tasks. Nothing runs on such a machine: either this owner released it while it was
    /// idle, or the leader removed it after the cloud had reported it as lost.
    fn remove_lost_machines(&mut self, shard: u32, cache: &WatchCache) {
        let is_in_partition = |id: &MachineId| {
            cache.machine(id).is_some_and(|((partition, _), record)| {
                partition == self.id() && record.release_reason.is_none()
            })
        };
        let of_shard = self.machines.iter();
        let lost: Vec<MachineId> = of_shard
            .filter(|(id, machine)| machine.spec.shard == shard && !is_in_partition(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            let Some(mut machine) = self.machines.remove(&id) else {
                continue;
            };
            self.usage.remove(&machine.load, machine.spec.capacity);
            let lost_attempts = machine.expire();
            tracing::info!(partition = %self.id(), machine = %id, lost_attempts = lost_attempts.len(), "machine removed from partition");
            for key in lost_attempts {
                self.displace(&key.task.job, &machine.spec.zone);
                self.requeue(&key, &id);
            }
        }
    }

    /// Creates a machine from its record.
    fn machine_of(
        &self,
        now: Micros,
        shard: u32,
        record: &MachineRecord,
        types: &[MachineType],
    ) -> Machine {
        let machine_type = types
            .iter()
            .find(|machine_type| machine_type.name == record.machine_type);
        let spec = MachineSpec {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            capacity: machine_type.map_or(Resources::default(), MachineType::capacity),
            addr: record.addr.clone(),
            shard,
            image_fetch_gb_per_s: machine_type
                .map_or(DEFAULT_IMAGE_FETCH_GB_PER_S, |machine_type| {
                    machine_type.fetch_gb_per_s
                }),
        };
        let mut machine = Machine::new(now, self.term().max(record.term), spec);
        machine.minimum_charge_paid = record.used;
        machine.used = record.used;
        machine
    }

    /// Reconciles a job that changed in the store: adds it, or removes it if its record was
    /// deleted.
    pub fn reconcile_job(&mut self, id: &JobId, cache: &WatchCache) {
        match cache.jobs.get(id) {
            Some(Versioned { revision, record }) => self.add_job(id, *revision, record, cache),
            None => self.remove_job(id),
        }
    }

    fn remove_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.scheduling.request_pass();
        self.job_writes.take_unreaped(id);
        if !job.is_ended() {
            tracing::info!(partition = %self.id(), job = %id, "job cancelled");
        }
        self.stop_job(id);
    }

    /// Adds a job of one of the partition's teams, unless it is known already. A job's record
    /// never changes, so a known job needs no update.
    fn add_job(&mut self, id: &JobId, revision: Revision, record: &JobRecord, cache: &WatchCache) {
        let Some(team) = self.settings.team(&record.desc.team) else {
            return;
        };
        if !self.ownership.teams().contains(&team) || self.jobs.contains_key(id) {
            return;
        }
        let limits = &self.settings.platform.state;
        let mut job = Job::new(record, revision, team, tasks_per_page(limits.value_kb));
        job.limit_value_bytes(limits.lowest_value_bytes());
        job.start_latency_objective = self.settings.start_latency_objective(&record.desc.class);
        job.apply_policy(self.policy.choice_for(&record.desc));
        for (page, revision, progress) in cache.progress(id) {
            job.restore_progress(page, revision, progress);
        }
        // An earlier owner may have stored that the last task is done, but not the job's end.
        // This owner then writes the end.
        self.job_writes.mark_dirty(id);
        self.jobs.insert(id.clone(), job);
        self.scheduling.request_pass();
    }

    /// Updates jobs after a change of the dependency graph: which jobs may start, which are
    /// cancelled together with a job that they depend on, and which properties they inherit from
    /// jobs that depend on them.
    pub fn update_dependencies(&mut self, graph: &DependencyGraph) {
        for (id, job) in &mut self.jobs {
            let is_changed = job.set_inherited(graph.inherited(id));
            self.scheduling.request_pass_if(is_changed);
            if job.desc.dependencies.is_empty() || job.is_ended() {
                continue;
            }
            let readiness = graph.readiness(id);
            if !job.set_readiness(&readiness) {
                continue;
            }
            self.scheduling.request_pass();
            let partition = self.ownership.partition();
            match readiness {
                Readiness::Ready(_) => {
                    tracing::info!(%partition, job = %id, "job dependencies satisfied");
                }
                Readiness::Waiting(dependency) => {
                    tracing::info!(%partition, job = %id, %dependency, "job blocked by dependency");
                }
                Readiness::Cancelled => {
                    tracing::info!(%partition, job = %id, "job cancelled with its dependency");
                    self.job_writes.mark_dirty(id);
                }
            }
        }
    }

    /// Reconciles the revision of a page of a job's progress that changed in the store. The
    /// change is this owner's own, possibly from a write that got no reply.
    pub fn reconcile_progress_page(&mut self, id: &JobId, page: u32, cache: &WatchCache) {
        if let Some(Versioned { revision, .. }) = cache.progress_pages.get(&(id.clone(), page))
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.set_page_revision(page, *revision);
        }
    }
}
