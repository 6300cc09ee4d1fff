//! The graph of dependencies between jobs, and its way to the owned partitions.
//!
//! It owns whether the partitions have the graph as it is. Ends of jobs that the graph lacks
//! are read from the store; they are never assumed.

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

/// The dependency graph.
#[derive(Default)]
pub(super) struct DependencyTracker {
    graph: DependencyGraph,
    /// A partition has been acquired or reloaded, and its jobs do not have the graph yet.
    is_out_of_sync: bool,
}

impl DependencyTracker {
    /// The graph as it is now.
    pub(super) fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// The partitions are given the graph at the next occasion, changed or not.
    pub(super) fn mark_out_of_sync(&mut self) {
        self.is_out_of_sync = true;
    }

    /// Starts over from a full read.
    pub(super) fn reload(&mut self, now: Micros, cache: &WatchCache) {
        self.graph.reload(now, &cache.jobs);
    }

    /// Takes in changed jobs.
    pub(super) fn sync_jobs(&mut self, now: Micros, jobs: &[JobId], cache: &WatchCache) {
        for job in jobs {
            self.graph.reconcile_job(now, job, &cache.jobs);
        }
    }

    /// Ends that the store has committed are known without another read.
    pub(super) fn record_committed_ends(&mut self, write: &Write, reply: &Reply) {
        let (Write::Ends { ends, at, .. }, Reply::Committed(revision)) = (write, reply) else {
            return;
        };
        for (job, state) in ends {
            let end = JobEnd::new(*state, Some(*at), *revision);
            self.graph.record_end(job, end);
        }
    }

    /// Whether the partitions lack something of the graph; they are given it then.
    fn take_out_of_sync(&mut self, cache: &WatchCache) -> bool {
        let has_changed = self.graph.refresh(&cache.jobs);
        std::mem::take(&mut self.is_out_of_sync) || has_changed
    }
}

impl Core {
    /// The owned partitions are given what changed in the dependency graph, and ends that it
    /// lacks are read.
    pub(super) fn sync_dependencies(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.dependencies.take_out_of_sync(self.store.cache()) {
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

    /// Takes in the record of an ended job that others depend on.
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

    /// The store has confirmed to a user of this controller that a job is cancelled.
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
        out.push(Effect::Mesh(Message::Cancelled { job, revision }));
    }
}
