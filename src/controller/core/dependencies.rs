//! The graph of dependencies between jobs, and its distribution to the owned partitions.
//!
//! It records whether the partitions have the current graph. Job ends that the graph lacks are
//! read from the store and never assumed.

use super::Core;
use super::effects::read_ended_job;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::{JobId, Revision};
use crate::jobs::dependencies::{DependencyGraph, JobEnd};
use crate::mesh::Message;
use crate::partition_owner::Write;
use crate::store::Reply;
use crate::watch_cache::WatchCache;

/// The dependency graph, and whether the owned partitions have its current state.
#[derive(Default)]
pub(super) struct DependencyTracker {
    graph: DependencyGraph,
    /// Whether a partition was acquired or reloaded and its jobs do not reflect the graph yet.
    is_out_of_sync: bool,
}

impl DependencyTracker {
    /// Returns the current graph.
    pub(super) fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// Requires the next synchronization to update the partitions even if the graph has not
    /// changed.
    pub(super) fn mark_out_of_sync(&mut self) {
        self.is_out_of_sync = true;
    }

    /// Updates the whole graph after a full read of the store.
    pub(super) fn reload(&mut self, now: Micros, cache: &WatchCache) {
        self.graph.reload(now, &cache.jobs);
    }

    /// Updates the graph after changes of the given jobs in the cache.
    pub(super) fn sync_jobs(&mut self, now: Micros, jobs: &[JobId], cache: &WatchCache) {
        for job in jobs {
            self.graph.reconcile_job(now, job, &cache.jobs);
        }
    }

    /// Records the job ends of a committed write. They need not be read from the store again.
    pub(super) fn record_committed_ends(&mut self, write: &Write, reply: &Reply) {
        let (Write::Ends { ends, at, .. }, Reply::Committed(revision)) = (write, reply) else {
            return;
        };
        for (job, state) in ends {
            let end = JobEnd::new(*state, Some(*at), *revision);
            self.graph.record_end(job, end);
        }
    }

    /// Refreshes the graph and returns whether the partitions must be updated. Clears the mark
    /// that they are out of sync, so the caller must update them.
    fn refresh_graph(&mut self, cache: &WatchCache) -> bool {
        let has_changed = self.graph.refresh(&cache.jobs);
        std::mem::take(&mut self.is_out_of_sync) || has_changed
    }
}

impl Core {
    /// Updates the owned partitions if the dependency graph has changed, and requests reads of
    /// the job ends that the graph lacks.
    pub(super) fn sync_dependencies(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.dependencies.refresh_graph(self.store.cache()) {
            for partition in self.partitions.values_mut() {
                partition.update_dependencies(&self.dependencies.graph);
            }
        }
        let reads = self.dependencies.graph.take_end_reads(now).into_iter();
        out.extend(reads.map(|job| {
            let operation = StoreOperation::DependencyEnd(job.clone());
            read_ended_job(operation, &job)
        }));
    }

    /// Handles the reply to a read of the record of an ended job that other jobs depend on.
    pub(super) fn handle_dependency_end_reply(
        &mut self,
        now: Micros,
        job: &JobId,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        self.dependencies.graph.handle_end_read(now, job, reply);
        self.sync_dependencies(now, out);
    }

    /// Handles a cancellation that a user of this controller requested and the store has
    /// committed, and sends it to the peers.
    pub(super) fn handle_own_cancellation(
        &mut self,
        now: Micros,
        job: JobId,
        revision: Revision,
        out: &mut Vec<Effect>,
    ) {
        self.dependencies.graph.record_end(&job, JobEnd::Cancelled);
        self.sync_dependencies(now, out);
        self.handle_cancellation(job.clone(), revision);
        out.push(Effect::SendToPeers(Message::Cancelled { job, revision }));
    }
}
