//! Taking in what the store says of the partition: its machines, its jobs, their progress, and
//! how the jobs before them stand.

use super::*;
use crate::jobs::dependencies::{DependencyGraph, Readiness};
use crate::jobs::tasks_per_page;
use crate::workers::{Machine, MachineSpec};

impl OwnedPartition {
    /// Takes over what the cache has. What ran before is learnt from reports:
    /// until a machine has reported under our token, it may run anything.
    pub fn fail_over(&mut self, now: Micros, cache: &WatchCache, types: &[MachineType]) {
        // For telling which work has a choice of machines.
        self.constrained = ConstrainedDemand::new(types);
        self.types = types.into();
        let shards: Vec<u32> = cache.shards(self.id).map(|(n, ..)| n).collect();
        for n in shards {
            self.reconcile_shard(now, n, cache, types, true);
        }
        let ids: Vec<JobId> = cache.jobs.keys().cloned().collect();
        for id in ids {
            self.reconcile_job(&id, cache);
        }
    }

    /// The store was read from the start while we held the partition all along.
    pub fn reload(&mut self, now: Micros, cache: &WatchCache, types: &[MachineType]) {
        let known = self.machines.values().map(|m| m.spec.shard);
        let shards: BTreeSet<u32> = known
            .chain(cache.shards(self.id).map(|(n, ..)| n))
            .collect();
        for n in shards {
            self.reconcile_shard(now, n, cache, types, false);
        }
        let jobs: BTreeSet<JobId> = self.jobs.keys().chain(cache.jobs.keys()).cloned().collect();
        for id in jobs {
            self.reconcile_job(&id, cache);
        }
        for (id, page) in cache.progress_pages.keys() {
            self.reconcile_progress_page(id, *page, cache);
        }
    }

    /// A shard of the partition's machines changed in the store.
    pub fn reconcile_shard(
        &mut self,
        now: Micros,
        shard: u32,
        cache: &WatchCache,
        types: &[MachineType],
        at_grant: bool,
    ) {
        let in_partition = |id: &MachineId| {
            let found = cache.machine(id);
            found.filter(|((b, _), r)| *b == self.id && r.release_reason.is_none())
        };
        let of_shard = self.machines.iter().filter(|(_, m)| m.spec.shard == shard);
        let mut lost: Vec<MachineId> = Vec::new();
        for (id, _) in of_shard {
            if in_partition(id).is_none() {
                lost.push(id.clone());
            }
        }
        for id in lost {
            // The leader takes a machine out only after the cloud has said that it
            // and all that was on it are gone; or we gave it up, idle.
            if let Some(mut m) = self.machines.remove(&id) {
                self.usage.remove(&m.load, m.spec.capacity);
                let keys = m.expire();
                tracing::info!(partition = %self.id, machine = %id, lost = keys.len(), "machine left the block");
                for key in keys {
                    self.displace(&key.task.job, &m.spec.zone);
                    self.requeue(&key, &id);
                }
            }
        }
        let Some((revision, rec)) = cache.machine_shards.get(&(self.id, shard)) else {
            return;
        };
        for (id, r) in rec.0.iter().filter(|(_, r)| r.release_reason.is_none()) {
            if let Some(m) = self.machines.get_mut(id) {
                m.spec.shard = shard;
                m.used |= r.used;
                m.record_shard_revision(*revision);
                continue;
            }
            let machine_type = types.iter().find(|t| t.name == r.machine_type);
            let capacity = machine_type.map_or(Resources::default(), MachineType::capacity);
            let term = self.term.max(r.term);
            let mut m = Machine::new(
                now,
                term,
                MachineSpec {
                    machine_type: r.machine_type.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
                    capacity,
                    addr: r.addr.clone(),
                    shard,
                    image_fetch_gb_per_s: machine_type.map_or(1.0, |t| t.fetch_gb_per_s),
                },
            );
            m.set_unconfirmed(at_grant && r.used);
            m.minimum_charge_paid = r.used;
            m.used = r.used;
            m.load = m.compute_load();
            self.usage.add(&m.load, m.spec.capacity);
            self.machines.insert(id.clone(), m);
        }
        self.count_unconfirmed(now);
        self.pass_pending = true;
    }

    /// A job changed in the store.
    pub fn reconcile_job(&mut self, id: &JobId, cache: &WatchCache) {
        let Some((revision, rec)) = cache.jobs.get(id) else {
            if let Some(job) = self.jobs.remove(id) {
                self.pass_pending = true;
                self.unreaped.remove(id);
                if !job.is_ended() {
                    tracing::info!(partition = %self.id, job = %id, "job ended elsewhere: cancelled");
                }
                self.stop_job(id);
            }
            return;
        };
        let team = self.settings.team(&rec.desc.team);
        let Some(team) = team.filter(|t| self.teams.contains(t)) else {
            return;
        };
        if self.jobs.contains_key(id) {
            return;
        }
        let page = tasks_per_page(self.settings.platform.state.value_kb);
        let mut job = Job::new(rec, *revision, team, page);
        job.limit_value_bytes(self.settings.platform.state.lowest_value_bytes());
        job.start_latency_objective = self.settings.start_latency_objective(&rec.desc.class);
        job.apply_policy(self.policy.choice_for(&rec.desc));
        for (n, revision, rec) in cache.progress(id) {
            job.restore_progress(n, revision, rec);
        }
        // A job whose last task was stored but not its end is ended by us.
        self.dirty.insert(id.clone());
        self.jobs.insert(id.clone(), job);
        self.pass_pending = true;
    }

    /// The dependency graph changed: which jobs may start, which are cancelled with one
    /// before them, and what they have from those that need them.
    pub fn update_dependencies(&mut self, graph: &DependencyGraph) {
        for (id, job) in &mut self.jobs {
            self.pass_pending |= job.set_inherited(graph.inherited(id));
            if job.desc.dependencies.is_empty() || job.is_ended() {
                continue;
            }
            let readiness = graph.readiness(id);
            if !job.set_readiness(&readiness) {
                continue;
            }
            self.pass_pending = true;
            match readiness {
                Readiness::Ready(_) => {
                    tracing::info!(partition = %self.id, job = %id, "all jobs before it are done");
                }
                Readiness::Waiting(on) => {
                    tracing::info!(partition = %self.id, job = %id, %on, "waits for a job before it");
                }
                Readiness::Cancelled => {
                    tracing::info!(partition = %self.id, job = %id, "cancelled with a job before it");
                    self.dirty.insert(id.clone());
                }
            }
        }
    }

    /// A page of a job's progress changed: by our own write, one without an answer
    /// included.
    pub fn reconcile_progress_page(&mut self, id: &JobId, page: u32, cache: &WatchCache) {
        if let Some((revision, _)) = cache.progress_pages.get(&(id.clone(), page))
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.set_page_revision(page, *revision);
        }
    }

    pub(super) fn count_unconfirmed(&mut self, now: Micros) {
        let mut silent: Vec<SilentMachines> = Vec::new();
        for m in self.machines.values().filter(|m| m.is_unconfirmed()) {
            let capacity = (m.spec.capacity != Resources::default()).then_some(m.spec.capacity);
            let alike = |s: &SilentMachines| {
                s.machine_type == m.spec.machine_type
                    && s.zone == m.spec.zone
                    && s.spot == m.spec.spot
                    && s.capacity == capacity
            };
            if !silent.iter().any(alike) {
                silent.push(SilentMachines {
                    machine_type: m.spec.machine_type.clone(),
                    zone: m.spec.zone.clone(),
                    spot: m.spec.spot,
                    capacity,
                });
            }
        }
        let recovery = (!silent.is_empty()).then_some(FailoverRecovery {
            term: self.term,
            granted: self.revision,
            silent,
        });
        // Fewer kinds that are silent: more jobs that can't be there.
        self.pass_pending |= recovery != self.recovery;
        let over = self.recovery.is_some() && recovery.is_none();
        self.recovery = recovery;
        if over {
            self.recovered_at = now;
            tracing::info!(partition = %self.id, term = %self.term, "all machines of the take-over have reported or are over");
        }
    }
}
