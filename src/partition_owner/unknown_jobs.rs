//! Jobs that heartbeats report but that are not among the partition's jobs, usually because they
//! have ended or were cancelled. The resources that their tasks request are read from the ended
//! jobs' records in the store.

use super::{Effect, OwnedPartition};
use crate::clock::Micros;
use crate::ids::{JobId, MachineId};
use crate::jobs::EndedRecord;
use crate::store::Reply;
use crate::workers::TaskDemand;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Reads of ended jobs' records that are started at a time.
const MAX_ENDED_JOB_READS: usize = 4;
/// Time between a failed or unanswered read and its retry.
const READ_RETRY_INTERVAL: Micros = Micros::from_millis(500);

/// State of the look-up of an unknown job's record.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UnknownJob {
    /// The record is to be read at this time or later.
    ReadDue { at: Micros },
    /// The read is in flight.
    Reading,
    /// The read is complete. `None` if there is no record, or the record does not contain the
    /// tasks' demand.
    Resolved(Option<TaskDemand>),
}

/// Jobs that heartbeats report but that are not among the partition's jobs.
#[derive(Default)]
pub(super) struct UnknownJobs(BTreeMap<JobId, UnknownJob>);

impl UnknownJobs {
    /// Returns the demand of a job's tasks if it is known. Otherwise returns `None`, and
    /// schedules a read of the job's record if none was scheduled before.
    pub(super) fn demand(&mut self, now: Micros, job: &JobId) -> Option<TaskDemand> {
        match self.0.entry(job.clone()) {
            Entry::Occupied(known) => match known.get() {
                UnknownJob::Resolved(demand) => *demand,
                UnknownJob::ReadDue { .. } | UnknownJob::Reading => None,
            },
            Entry::Vacant(new) => {
                new.insert(UnknownJob::ReadDue { at: now });
                None
            }
        }
    }

    /// Returns the jobs whose records are to be read now, a bounded number at a time, and marks
    /// them as being read.
    fn take_due_reads(&mut self, now: Micros) -> Vec<JobId> {
        let due = self.0.iter_mut().filter_map(|(id, job)| match job {
            UnknownJob::ReadDue { at } if now >= *at => {
                *job = UnknownJob::Reading;
                Some(id.clone())
            }
            _ => None,
        });
        due.take(MAX_ENDED_JOB_READS).collect()
    }

    fn retry_read(&mut self, now: Micros, job: &JobId) {
        let at = now + READ_RETRY_INTERVAL;
        self.0.insert(job.clone(), UnknownJob::ReadDue { at });
    }

    fn resolve(&mut self, job: &JobId, demand: Option<TaskDemand>) {
        self.0.insert(job.clone(), UnknownJob::Resolved(demand));
    }
}

impl OwnedPartition {
    /// Returns the reads of unknown jobs' records that are due, and marks them as being read.
    pub fn take_ended_job_reads(&mut self, now: Micros) -> Vec<Effect> {
        let due = self.unknown_jobs.take_due_reads(now);
        due.into_iter().map(Effect::ReadEnded).collect()
    }

    /// Handles the store's reply to the read of an ended job's record.
    pub fn handle_ended_job_reply(&mut self, now: Micros, id: &JobId, reply: &Reply) {
        let demand = match reply {
            Reply::Value(row) => EndedRecord::read(row)
                .ok()
                .and_then(|record| record.footprint)
                .and_then(|footprint| {
                    Some(TaskDemand {
                        team: self.settings.team(&footprint.team)?,
                        request: footprint.request,
                    })
                }),
            Reply::NotFound => None,
            _ => {
                self.unknown_jobs.retry_read(now, id);
                return;
            }
        };
        self.unknown_jobs.resolve(id, demand);
        let mut machines: Vec<MachineId> = Vec::new();
        for (machine_id, machine) in &mut self.machines {
            let attempts = machine.attempts.iter_mut();
            for (_, attempt) in attempts.filter(|(key, _)| key.task.job == *id) {
                attempt.demand = attempt.demand.or(demand);
                machines.push(machine_id.clone());
            }
        }
        for machine_id in machines {
            self.update_usage(&machine_id);
        }
        self.scheduling.request_pass();
    }
}
