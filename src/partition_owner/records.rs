//! What the owner records: jobs' ends and progress, machines in use or given up.

use super::{Effect, OwnedPartition, ReleaseReason, Resigning, ShardRecord, Write};
use crate::clock::Micros;
use crate::ids::{JobId, MachineId, Revision};
use crate::partitions::{PartitionOwnerRecord, write_parts};
use crate::placement::{self, CapacityRequest};
use crate::store::{self, Compare, Mutation, Reply, TXN_BYTES, compare, keys};
use crate::watch_cache::WatchCache;
use crate::workers::{AttemptKey, Machine, ReleaseOutcome};

/// A job's progress is batched for this long, and longer where all partitions' progress
/// would take more of the store's changes than its part.
const PROGRESS_GAP: Micros = Micros::from_millis(2_000);
/// After a write that was refused or had no answer; the watch tells the revisions.
const AGAIN: Micros = Micros::from_millis(400);
const OPEN_GAP: Micros = Micros::from_millis(700);
const LEAST_CHARGED: Micros = Micros::from_millis(60_000);
/// A hand-back is asked for again after this.
const RESIGN_AGAIN: Micros = Micros::from_millis(6_000);
const GIVE_UP_GAP: Micros = Micros::from_millis(500);

impl OwnedPartition {
    /// Batches of job changes for the store: ends at once, then progress.
    pub fn take_writes(&mut self, now: Micros, wall_clock: Micros) -> Vec<Effect> {
        let dirty: Vec<JobId> = self.dirty.iter().cloned().collect();
        let (mut ends, mut due) = (Vec::new(), Vec::new());
        for id in dirty {
            match self.jobs.get(&id) {
                Some(job) if !job.is_ended() => {
                    if job.wants_write(now) {
                        if job.is_terminal() {
                            ends.push(id);
                        } else {
                            due.push((job.has_only_display_changes(), job.next_write_at(), id));
                        }
                    } else if job.may_write(now) {
                        self.dirty.remove(&id);
                    }
                }
                _ => {
                    self.dirty.remove(&id);
                }
            }
        }
        let mut out = Vec::new();
        out.extend(self.write_ends(wall_clock, ends));
        due.sort();
        out.extend(self.write_progress(now, due));
        out
    }

    fn ownership_compare(&self) -> Compare {
        compare(keys::partition_owner(self.id), self.revision)
    }

    fn write_ends(&mut self, wall_clock: Micros, over: Vec<JobId>) -> Option<Effect> {
        let budget = self.settings.max_mutations();
        let (mut ends, mut reap) = (Vec::new(), Vec::new());
        let (mut compares, mut mutations) = (vec![self.ownership_compare()], Vec::new());
        for id in over {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if mutations.len() + 3 > budget {
                break;
            }
            let (c, o) = job.end_transaction(wall_clock, budget - mutations.len());
            compares.extend(c);
            mutations.extend(o);
            job.begin_write();
            reap.extend(self.unreaped.remove(&id).unwrap_or_default());
            ends.push((id, job.terminal_state()));
        }
        let write = Write::Ends {
            at: wall_clock,
            reap,
            ends,
        };
        (!mutations.is_empty()).then_some(Effect::CompareAndSwap(write, compares, mutations))
    }

    fn write_progress(&mut self, now: Micros, due: Vec<(bool, Micros, JobId)>) -> Option<Effect> {
        let budget = self.settings.max_mutations();
        let (mut jobs, mut reap) = (Vec::new(), Vec::new());
        let (mut compares, mut mutations, mut bytes) =
            (vec![self.ownership_compare()], Vec::new(), 0);
        for (only_display, _, id) in due {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if only_display && !self.display.take(now, 1.0, 0.0) {
                break;
            }
            if mutations.len() >= budget || bytes > TXN_BYTES || !self.progress.take(now, 1.0, 0.0)
            {
                break;
            }
            let written = job.progress_transaction(&self.label, (budget - mutations.len()).min(4));
            let (c, o, pages) = (written.compares, written.mutations, written.record_numbers);
            if pages.is_empty() {
                continue;
            }
            bytes += o.iter().map(op_size).sum::<usize>();
            compares.extend(c);
            mutations.extend(o);
            job.begin_write();
            job.delay_writes_until(now + PROGRESS_GAP);
            // Guards against reports that grow without end: while new pages kept changing,
            // nothing of the job was reaped, until its owner could not read all that its
            // machines reported in time.
            if let Some(ended) = self.unreaped.get_mut(&id) {
                let stored = |(_, key): &mut (MachineId, AttemptKey)| !job.is_dirty(key.task.index);
                reap.extend(ended.extract_if(.., stored));
            }
            jobs.push((id, pages));
        }
        (!jobs.is_empty()).then_some(Effect::CompareAndSwap(
            Write::Progress { jobs, reap },
            compares,
            mutations,
        ))
    }

    /// Takes in the store's answer to a write.
    pub fn handle_store_reply(&mut self, now: Micros, write: Write, reply: &Reply) {
        match write {
            Write::Ends { ends, reap, .. } => {
                for (id, standing) in &ends {
                    self.job_stored(now, id, &[], reply);
                    if let Some(job) = self.jobs.get_mut(id)
                        && matches!(reply, Reply::Committed(_))
                    {
                        job.mark_ended();
                        tracing::info!(partition = %self.id, job = %id, ?standing, "job is over");
                    }
                }
                self.reap(reap, reply);
            }
            Write::Progress { jobs, reap } => {
                for (id, pages) in &jobs {
                    self.job_stored(now, id, pages, reply);
                }
                self.reap(reap, reply);
            }
            Write::Open(ids) => {
                self.writing_machines = false;
                // Those that did not fit into this write, or whose write failed.
                self.to_open = true;
                for id in ids.iter().filter(|_| matches!(reply, Reply::Committed(_))) {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.used = true;
                        self.pass_pending = true;
                    }
                }
            }
            Write::GiveUp(ids) => {
                self.writing_machines = false;
                match reply {
                    Reply::Committed(_) => self.leave(&ids, ReleaseOutcome::Committed),
                    // Surely not done, and it never will be: they stay ours.
                    Reply::Conflict(_) | Reply::Rejected => {
                        self.leave(&ids, ReleaseOutcome::Rejected)
                    }
                    // It may still be done, so they are not used meanwhile.
                    _ => self.leave(&ids, ReleaseOutcome::Indeterminate),
                }
            }
        }
    }

    fn leave(&mut self, ids: &[MachineId], outcome: ReleaseOutcome) {
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                m.record_release_outcome(outcome);
            }
        }
    }

    fn job_stored(&mut self, now: Micros, id: &JobId, pages: &[u32], reply: &Reply) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.finish_write();
        match reply {
            Reply::Committed(revision) => {
                for page in pages {
                    job.set_page_revision(*page, *revision);
                }
            }
            // A job's record never changes while the job lives: it was cancelled, or
            // ended by our own write that had no answer. The watch will take it out;
            // until then nothing of it starts.
            Reply::Conflict(failed) if failed.contains(&keys::job(id)) => self.cancel_job(id),
            // Not carried out, or perhaps late: either way the revisions decide, and the
            // watch tells them.
            _ => {
                job.mark_unwritten(pages);
                job.delay_writes_until(now + AGAIN);
                self.dirty.insert(id.clone());
            }
        }
    }

    /// A worker forgets an attempt only once its end is stored.
    fn reap(&mut self, reap: Vec<(MachineId, AttemptKey)>, reply: &Reply) {
        for (machine, key) in reap {
            if matches!(reply, Reply::Committed(_)) {
                let m = self.machines.get_mut(&machine);
                if let Some(t) = m.and_then(|m| m.attempts.get_mut(&key)) {
                    t.may_be_reaped = true;
                }
            } else if self.jobs.contains_key(&key.task.job) {
                self.unreaped
                    .entry(key.task.job.clone())
                    .or_default()
                    .push((machine, key));
            }
        }
    }

    /// Changes shards by what `change` says of each machine: one write of as many
    /// shards as a transaction takes. The rest follows in the next.
    fn change_shards(
        &mut self,
        cache: &WatchCache,
        mut change: impl FnMut(&mut Machine, &mut crate::partitions::MachineRecord, Revision) -> bool,
        write: impl Fn(Vec<MachineId>) -> Write,
    ) -> Option<Effect> {
        let (mut ids, mut compares, mut mutations, mut bytes) =
            (vec![], vec![self.ownership_compare()], vec![], 0);
        let most = self.settings.max_mutations();
        let value_bytes = self.settings.platform.state.lowest_value_bytes();
        let mut free = cache.free_shards(self.id);
        for (n, revision, old) in cache.shards(self.id) {
            let oversize = old.is_oversize(value_bytes);
            // What an earlier version wrote under a higher limit is written in parts, and
            // in one transaction: a machine is in one of them at any time.
            let parts = if oversize {
                (**old).clone().split(value_bytes).len()
            } else {
                1
            };
            if parts > most {
                continue;
            }
            if mutations.len() + parts > most || bytes > TXN_BYTES {
                break;
            }
            let mut new: Option<ShardRecord> = None;
            for (id, old_rec) in &old.0 {
                let Some(m) = self.machines.get_mut(id) else {
                    continue;
                };
                let mut rec = old_rec.clone();
                if change(m, &mut rec, revision) {
                    new.get_or_insert_with(|| (**old).clone())
                        .0
                        .insert(id.clone(), rec);
                    ids.push(id.clone());
                }
            }
            let Some(new) = new else { continue };
            bytes += new.estimated_size();
            let parts = if oversize {
                new.split(value_bytes)
            } else {
                vec![new]
            };
            let (of_parts, writes) = write_parts(self.id, (n, revision), parts, &mut free);
            compares.extend(of_parts);
            mutations.extend(writes);
        }
        if ids.is_empty() {
            return None;
        }
        self.writing_machines = true;
        Some(Effect::CompareAndSwap(write(ids), compares, mutations))
    }

    /// Records machines that were heard for the first time as used, before the
    /// first launch there.
    pub fn record_used_machines(&mut self, now: Micros, cache: &WatchCache) -> Option<Effect> {
        let new = |m: &Machine| !m.used && m.has_sent_heartbeat() && m.is_active();
        // Batched: many come up at once, and the cache may lag behind our own last
        // write, so that the next one would fail as fast as the store can answer.
        if self.writing_machines || now.since(self.last_open) < OPEN_GAP || !self.to_open {
            return None;
        }
        self.last_open = now;
        self.to_open = false;
        let open = |m: &mut Machine, rec: &mut crate::partitions::MachineRecord, _: Revision| {
            let opens = new(m) && !rec.used;
            if opens {
                rec.used = true;
                rec.addr.clone_from(&m.spec.addr);
            }
            opens
        };
        self.change_shards(cache, open, Write::Open)
    }

    /// Idle machines that go: to other partitions that lack room, or back.
    pub fn release_idle_machines(
        &mut self,
        now: Micros,
        cache: &WatchCache,
        own: &[CapacityRequest],
        others: &[CapacityRequest],
    ) -> Option<Effect> {
        if self.writing_machines || now.since(self.last_give_up) < GIVE_UP_GAP {
            return None;
        }
        let mut lacking: Vec<(CapacityRequest, u32)> =
            others.iter().map(|n| (n.clone(), n.count)).collect();
        let (heard, policy) = (self.heard_within(), self.policy.clone());
        // Guards against returning what old jobs will use once they may start: while
        // the failover waits for silent machines, nothing is idle by choice.
        let idle_from = if self.is_recovering() {
            now
        } else {
            self.recovered_at
        };
        let go =
            |m: &mut Machine, rec: &mut crate::partitions::MachineRecord, revision: Revision| {
                if m.release_state().is_indeterminate() && m.is_empty() {
                    // Tried before without an answer: again, since it may be done.
                    rec.release_reason = Some(ReleaseReason::Return);
                    m.request_release(revision);
                    return true;
                }
                if !placement::accepts_tasks(m, now, heard) || !m.is_empty() {
                    return false;
                }
                let idle = now.since(m.idle_since().max(idle_from));
                let fits = |n: &CapacityRequest| {
                    n.fits(
                        &m.spec.machine_type,
                        &m.spec.zone,
                        m.spec.spot,
                        &m.spec.capacity,
                    )
                };
                let idle_return = if m.spec.spot {
                    policy.spot_idle_timeout
                } else {
                    policy.on_demand_idle_timeout
                };
                // Less than a minute is charged as a minute. Guards against counting it from
                // each failover anew: under a roll of restarts nothing was returned.
                let charged = m.minimum_charge_paid || now.since(m.added_at()) >= LEAST_CHARGED;
                if idle >= idle_return && charged {
                    rec.release_reason = Some(ReleaseReason::Return);
                } else if idle >= Micros::from_millis(1_000) && !own.iter().any(fits) {
                    let Some(l) = lacking.iter_mut().find(|(n, left)| *left > 0 && fits(n)) else {
                        return false;
                    };
                    l.1 = l.1.saturating_sub(l.0.request.times_in(&m.spec.capacity));
                    rec.release_reason = Some(ReleaseReason::Move);
                } else {
                    return false;
                }
                m.request_release(revision);
                true
            };
        let effect = self.change_shards(cache, go, Write::GiveUp)?;
        self.last_give_up = now;
        Some(effect)
    }

    /// The write by which this owner hands the whole partition back, if it is not out.
    /// From now on no order leaves. Guards against answers after the next grant: the
    /// next owner counts a silent worker's lease from there, and our reading of the
    /// grant may come much later.
    pub fn hand_back(&mut self, now: Micros) -> Option<(Vec<Compare>, Vec<Mutation>)> {
        let out = self.resigning.and_then(|r| r.out);
        if out.is_some_and(|at| now.since(at) < RESIGN_AGAIN) {
            return None;
        }
        self.resigning = Some(Resigning {
            out: Some(now),
            // What was out for so long may still be carried out.
            unsure: self.resigning.is_some_and(|r| r.unsure || r.out.is_some()),
        });
        Some(self.resignation())
    }

    /// Asked to be handed back without an answer: it has to be asked again.
    pub fn is_being_handed_back(&self) -> bool {
        self.resigning.is_some()
    }

    /// Takes in the store's answer to a hand-back.
    pub fn handle_hand_back_reply(&mut self, reply: &Reply) {
        let Some(r) = &mut self.resigning else { return };
        match reply {
            // Somebody else's already, or soon: the watch will take the partition out.
            Reply::Committed(_) | Reply::Conflict(_) => {}
            // Surely not carried out, and nothing before it can be: it stays ours.
            Reply::Rejected if !r.unsure => self.resigning = None,
            Reply::Rejected => r.out = None,
            _ => (r.out, r.unsure) = (None, true),
        }
    }

    fn resignation(&self) -> (Vec<Compare>, Vec<Mutation>) {
        let teams = self
            .teams
            .iter()
            .map(|t| self.settings.platform.teams[*t].name.clone())
            .collect();
        let rec = PartitionOwnerRecord {
            owner: self.label.clone(),
            incarnation: Revision(0),
            term: self.term,
            teams,
        };
        (
            vec![self.ownership_compare()],
            vec![store::put(keys::partition_owner(self.id), &rec)],
        )
    }
}

fn op_size(op: &Mutation) -> usize {
    match op {
        Mutation::Set { value, .. } => value.to_string().len() + 64,
        Mutation::Delete { .. } => 64,
    }
}
