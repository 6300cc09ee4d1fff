//! Garbage collection by the leader: deletes the progress pages of ended jobs in small batches.
//!
//! It records when garbage was last collected. It must never delete a page of a job that has
//! not ended.

use super::Core;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::Revision;
use crate::store::{Compare, Mutation, Request, RequestPriority, keys};

/// Interval between two batches of deletions.
const GARBAGE_COLLECTION_INTERVAL: Micros = Micros::from_millis(3_000);
/// Maximum number of progress pages that are deleted in one transaction.
const MAX_DELETED_PAGES: usize = 8;

/// Schedule of garbage collection.
#[derive(Debug, Default)]
pub(super) struct GarbageCollector {
    last_run_at: Micros,
}

impl GarbageCollector {
    /// Returns whether a collection is due. If so, the next is due one interval later.
    fn begin_if_due(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_run_at) >= GARBAGE_COLLECTION_INTERVAL;
        if is_due {
            self.last_run_at = now;
        }
        is_due
    }
}

impl Core {
    /// Deletes a batch of progress pages, if this controller leads and the interval has passed.
    pub(super) fn collect_garbage(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.leader_state.garbage_collector.begin_if_due(now) {
            return;
        }
        let Some(leadership) = self.leader_compare() else {
            return;
        };
        // Each page needs one compare and one mutation of the transaction.
        let max_mutations = self.configuration.settings.max_mutations();
        let max_pages = (max_mutations / 2).min(MAX_DELETED_PAGES);
        let pages = self.store.cache().orphaned_progress_pages(max_pages);
        if pages.is_empty() {
            return;
        }
        // The id of an ended job is never reused. If the job has no record any more, its pages
        // belong to no job.
        let jobs_ended = pages
            .iter()
            .map(|(job, _)| Compare::new(keys::job(job), Revision(0)));
        let compares = std::iter::once(leadership).chain(jobs_ended).collect();
        let mutations = pages
            .iter()
            .map(|(job, page)| Mutation::delete(keys::progress_page(job, *page)))
            .collect();
        out.push(Effect::StoreRequest {
            operation: StoreOperation::GarbageCollection,
            request: Request::CompareAndSwap {
                compares,
                mutations,
            },
            priority: RequestPriority::Background,
        });
    }
}
