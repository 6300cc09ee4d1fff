//! Writes of job records: the ends of jobs are written at once, their progress in batches.
//!
//! Each write is conditional on the partition's grant and on the revisions of the records that
//! it changes. A late or repeated write therefore can't undo a later one.

use super::transaction::Transaction;
use super::{Effect, OwnedPartition, ProgressPages, UnreapedAttempt, Write};
use crate::clock::Micros;
use crate::ids::JobId;
use crate::store::{Mutation, Reply, keys};

/// Shortest interval between two progress writes of one job. The interval gets longer while the
/// progress of all partitions would exceed its share of the store's write rate.
const PROGRESS_WRITE_INTERVAL: Micros = Micros::from_millis(2_000);
/// Time until a failed or unanswered write is repeated. Meanwhile the watch reports the revisions
/// on which the repeated write is conditional.
const WRITE_RETRY_INTERVAL: Micros = Micros::from_millis(400);
/// Fewest mutations that end a job: its live record and one progress page are deleted, and its
/// ended record is created.
const MIN_END_MUTATIONS: usize = 3;
/// Most progress pages of one job in one transaction.
const MAX_PAGES_PER_JOB: usize = 4;
/// Estimated size of a mutation without its value, in bytes.
const MUTATION_OVERHEAD_BYTES: usize = 64;

/// A job whose progress may be written now. The order of the fields determines the order in
/// which jobs are written.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueProgress {
    only_display: bool,
    write_after: Micros,
    job: JobId,
}

impl OwnedPartition {
    /// Returns the writes of job changes that are due: first one with the ends of jobs, then one
    /// with the progress of jobs.
    pub fn take_writes(&mut self, now: Micros, wall_clock: Micros) -> Vec<Effect> {
        let (mut ended, mut progress) = (Vec::new(), Vec::new());
        for id in self.job_writes.dirty_jobs() {
            let Some(job) = self.jobs.get(&id).filter(|job| !job.is_ended()) else {
                self.job_writes.clear_dirty(&id);
                continue;
            };
            if !job.wants_write(now) {
                if job.may_write(now) {
                    self.job_writes.clear_dirty(&id);
                }
            } else if job.is_terminal() {
                ended.push(id);
            } else {
                progress.push(DueProgress {
                    only_display: job.has_only_display_changes(),
                    write_after: job.next_write_at(),
                    job: id,
                });
            }
        }
        let mut effects = Vec::new();
        effects.extend(self.write_ends(wall_clock, ended));
        progress.sort();
        effects.extend(self.write_progress(now, progress));
        effects
    }

    /// Returns an empty transaction that is conditional on the grant.
    pub(super) fn begin_transaction(&self) -> Transaction {
        Transaction::new(self.ownership.compare(), self.settings.max_mutations())
    }

    fn write_ends(&mut self, wall_clock: Micros, ended: Vec<JobId>) -> Option<Effect> {
        let mut transaction = self.begin_transaction();
        let (mut ends, mut reap) = (Vec::new(), Vec::new());
        for id in ended {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if transaction.remaining_mutations() < MIN_END_MUTATIONS {
                break;
            }
            let (compares, mutations) =
                job.end_transaction(wall_clock, transaction.remaining_mutations());
            transaction.append(compares, mutations, 0);
            job.begin_write();
            reap.extend(self.job_writes.take_unreaped(&id));
            ends.push((id, job.terminal_state()));
        }
        let is_empty = ends.is_empty();
        let write = Write::Ends {
            at: wall_clock,
            reap,
            ends,
        };
        (!is_empty).then(|| transaction.into_effect(write))
    }

    fn write_progress(&mut self, now: Micros, due: Vec<DueProgress>) -> Option<Effect> {
        let mut transaction = self.begin_transaction();
        let (mut jobs, mut reap) = (Vec::new(), Vec::new());
        for DueProgress {
            only_display,
            job: id,
            ..
        } in due
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if only_display && !self.job_writes.take_display_token(now) {
                break;
            }
            let is_full = transaction.remaining_mutations() == 0 || transaction.exceeds_bytes();
            if is_full || !self.job_writes.take_progress_token(now) {
                break;
            }
            let max_pages = transaction.remaining_mutations().min(MAX_PAGES_PER_JOB);
            let progress = job.progress_transaction(&self.settings.label, max_pages);
            if progress.record_numbers.is_empty() {
                continue;
            }
            let bytes = progress.mutations.iter().map(mutation_size).sum();
            transaction.append(progress.compares, progress.mutations, bytes);
            job.begin_write();
            job.delay_writes_until(now + PROGRESS_WRITE_INTERVAL);
            reap.extend(self.job_writes.take_stored(job));
            jobs.push(ProgressPages {
                job: id,
                pages: progress.record_numbers,
            });
        }
        (!jobs.is_empty()).then(|| transaction.into_effect(Write::Progress { jobs, reap }))
    }

    /// Handles the store's reply to a write of this owner.
    pub fn handle_store_reply(&mut self, now: Micros, write: Write, reply: &Reply) {
        match write {
            Write::Ends { ends, reap, .. } => {
                for (id, state) in &ends {
                    self.handle_job_reply(now, id, &[], reply);
                    if let Some(job) = self.jobs.get_mut(id)
                        && matches!(reply, Reply::Committed(_))
                    {
                        job.mark_ended();
                        tracing::info!(partition = %self.id(), job = %id, ?state, "job ended");
                    }
                }
                self.reap(reap, reply);
            }
            Write::Progress { jobs, reap } => {
                for ProgressPages { job, pages } in &jobs {
                    self.handle_job_reply(now, job, pages, reply);
                }
                self.reap(reap, reply);
            }
            Write::UseMachines(ids) => self.handle_use_reply(&ids, reply),
            Write::ReleaseMachines(ids) => self.handle_release_reply(&ids, reply),
        }
    }

    fn handle_job_reply(&mut self, now: Micros, id: &JobId, pages: &[u32], reply: &Reply) {
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
            // The record of a live job never changes. So the job was cancelled, or was ended
            // by an earlier write of this owner that got no reply. None of its tasks starts
            // until the watch reports that its record was deleted.
            Reply::Conflict(failed) if failed.contains(&keys::job(id)) => self.cancel_job(id),
            // The write was not carried out, or it may still be. Repeating it is safe in both
            // cases: it is conditional on the revisions that the watch reports.
            _ => {
                job.mark_unwritten(pages);
                job.delay_writes_until(now + WRITE_RETRY_INTERVAL);
                self.job_writes.mark_dirty(id);
            }
        }
    }

    /// Allows attempts to be reaped if the write of their ends was committed. Otherwise they wait
    /// for the next write, because a worker must not forget an attempt whose end is not stored.
    fn reap(&mut self, reap: Vec<UnreapedAttempt>, reply: &Reply) {
        for unreaped in reap {
            if matches!(reply, Reply::Committed(_)) {
                let machine = self.machines.get_mut(&unreaped.machine);
                let attempts = machine.map(|machine| &mut machine.attempts);
                if let Some(attempt) = attempts.and_then(|all| all.get_mut(&unreaped.key)) {
                    attempt.may_be_reaped = true;
                }
            } else if self.jobs.contains_key(&unreaped.key.task.job) {
                self.job_writes.add_unreaped(unreaped);
            }
        }
    }
}

/// Returns the estimated size of a mutation, in bytes.
fn mutation_size(mutation: &Mutation) -> usize {
    match mutation {
        Mutation::Set { value, .. } => value.to_string().len() + MUTATION_OVERHEAD_BYTES,
        Mutation::Delete { .. } => MUTATION_OVERHEAD_BYTES,
    }
}
