//! Simulated users: they submit jobs, cancel jobs and query the status of jobs.
//!
//! Users change a job's record only by submission and cancellation.

use super::Simulation;
use crate::api::read_index::JobLookup;
use crate::clock::Micros;
use crate::controller::messages::Input;
use crate::ids::{JobId, PartitionId, Revision, Term};
use crate::jobs::{EndedRecord, JobDesc, JobRecord, JobState};
use crate::store::{Compare, Mutation, Reply, keys};
use std::collections::{BTreeMap, BTreeSet};

/// The answer to a status query.
#[derive(Debug, Clone, PartialEq)]
pub struct LookupAnswer {
    /// Index of the controller that answered.
    pub controller: usize,
    /// Identifier of the query.
    pub request_id: u64,
    /// Status of the job.
    pub lookup: JobLookup,
}

/// The users of a simulation.
#[derive(Default)]
pub struct SimulatedUsers {
    /// All jobs that were accepted, by identifier.
    pub submitted: BTreeMap<JobId, JobDesc>,
    /// Time at which the cancellation of a job was confirmed, by job.
    pub cancelled_at: BTreeMap<JobId, Micros>,
    /// Jobs whose tasks all fail one second after their start.
    pub failing_jobs: BTreeSet<JobId>,
    /// Answers to status queries, in order of arrival.
    pub lookups: Vec<LookupAnswer>,
}

impl SimulatedUsers {
    /// Records the answer to a status query.
    pub fn record_lookup(&mut self, controller: usize, request_id: u64, lookup: JobLookup) {
        self.lookups.push(LookupAnswer {
            controller,
            request_id,
            lookup,
        });
    }

    /// Removes and returns the answers recorded so far.
    pub fn take_lookups(&mut self) -> Vec<LookupAnswer> {
        std::mem::take(&mut self.lookups)
    }

    /// Returns whether a job or one of its direct or transitive dependencies was cancelled.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let dependencies = self
            .submitted
            .get(id)
            .map(|job| job.dependencies.as_slice());
        self.cancelled_at.contains_key(id)
            || dependencies
                .unwrap_or_default()
                .iter()
                .any(|dependency| self.is_cancelled(dependency))
    }
}

impl Simulation {
    /// Submits a job to the first partition.
    pub fn submit(&mut self, job: &JobDesc) {
        self.submit_to(job, 0);
    }

    /// Submits a job to the given partition, which must be the partition of the job's team.
    /// Panics if the store does not commit the submission.
    pub fn submit_to(&mut self, job: &JobDesc, partition: u64) {
        self.users.submitted.insert(job.id.clone(), job.clone());
        let owner_key = keys::partition_owner(PartitionId(partition));
        let owner = self.store.keys.get(&owner_key);
        let owner_revision = owner.map_or(0, |stored| stored.revision);
        let accepted_term: Term = owner
            .and_then(|stored| serde_json::from_value(stored.value["term"].clone()).ok())
            .unwrap_or_default();
        let record = JobRecord {
            desc: job.clone(),
            accepted_at: self.now,
            accepted_term,
        };
        let compares = [
            Compare::new(keys::job(&job.id), Revision(0)),
            Compare::new(owner_key, Revision(owner_revision)),
        ];
        let mutations = vec![Mutation::put(keys::job(&job.id), &record)];
        let reply = self.store.compare_and_swap(&compares, mutations);
        assert!(matches!(reply, Reply::Committed(_)), "{reply:?}");
    }

    /// Cancels a job by writing to the store. No controller is notified.
    pub fn cancel(&mut self, id: &str) {
        let id = JobId::from(id);
        let record = EndedRecord {
            state: JobState::Cancelled,
            tasks: 1,
            footprint: self.users.submitted.get(&id).map(JobDesc::footprint),
            ended_at: Some(self.now),
        };
        self.users.cancelled_at.insert(id.clone(), self.now);
        self.store.commit(vec![
            Mutation::delete(keys::job(&id)),
            Mutation::put(keys::ended(&id), &record),
        ]);
    }

    /// Cancels a job as a user's request to a controller does: the cancellation is written to the
    /// store, and then the controller notifies its peers.
    pub fn cancel_through(&mut self, controller: usize, id: &str) {
        self.cancel(id);
        let (job, revision) = (id.into(), Revision(self.store.revision));
        self.handle_input(controller, Input::Cancelled { job, revision });
    }

    /// Queries a controller for a job's status. The answer is added to the users' lookups once
    /// the simulation has advanced.
    pub fn query_job(&mut self, controller: usize, id: &str, request_id: u64) {
        let id = id.into();
        self.handle_input(controller, Input::JobLookup { id, request_id });
    }

    /// Returns the stored state of a job that has ended, or `None` if no end is stored.
    pub fn ended_state(&self, id: &str) -> Option<JobState> {
        let stored = self.store.keys.get(&keys::ended(&JobId::from(id)))?;
        serde_json::from_value::<EndedRecord>(stored.value.clone())
            .ok()
            .map(|record| record.state)
    }

    /// Returns whether any task of a job has started.
    pub fn has_started(&self, id: &str) -> bool {
        let prefix = format!("{id}/");
        self.ended_state(id) == Some(JobState::Done)
            || self
                .workers
                .iter()
                .any(|worker| worker.tasks.keys().any(|task| task.starts_with(&prefix)))
    }
}
