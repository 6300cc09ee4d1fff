//! What the owner records of jobs: their ends at once, their progress in batches.

use super::transaction::Transaction;
use super::{Effect, OwnedPartition, ProgressPages, UnreapedAttempt, Write};
use crate::clock::Micros;
use crate::ids::JobId;
use crate::store::{Mutation, Reply, keys};

/// A job's progress is batched for this long, and longer where all partitions' progress
/// would take more of the store's changes than its part.
const PROGRESS_WRITE_INTERVAL: Micros = Micros::from_millis(2_000);
/// After a write that was refused or had no answer; the watch brings the revisions.
const WRITE_RETRY_INTERVAL: Micros = Micros::from_millis(400);
/// A job's end takes at least its record, the record of its end and one page.
const MIN_END_MUTATIONS: usize = 3;
/// Pages of one job's progress in one transaction.
const MAX_PAGES_PER_JOB: usize = 4;
/// What a mutation takes besides its value.
const MUTATION_OVERHEAD_BYTES: usize = 64;

/// A job whose progress may be written now, in the order in which that is done.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueProgress {
    only_display: bool,
    write_after: Micros,
    job: JobId,
}

impl OwnedPartition {
    /// Batches of job changes for the store: ends at once, then progress.
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

    /// An empty transaction that is conditional on the grant.
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

    /// Takes in the store's answer to a write.
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
            // A job's record never changes while the job lives: it was cancelled, or
            // ended by our own write that had no answer. The watch will take it out;
            // until then nothing of it starts.
            Reply::Conflict(failed) if failed.contains(&keys::job(id)) => self.cancel_job(id),
            // Not carried out, or perhaps late: either way the revisions decide, and the
            // watch brings them.
            _ => {
                job.mark_unwritten(pages);
                job.delay_writes_until(now + WRITE_RETRY_INTERVAL);
                self.job_writes.mark_dirty(id);
            }
        }
    }

    /// A worker forgets an attempt only once its end is stored.
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

fn mutation_size(mutation: &Mutation) -> usize {
    match mutation {
        Mutation::Set { value, .. } => value.to_string().len() + MUTATION_OVERHEAD_BYTES,
        Mutation::Delete { .. } => MUTATION_OVERHEAD_BYTES,
    }
}
