//! Jobs that machines show and that are not known here: most likely they have ended, or were
//! cancelled. What their tasks take is read from their records.

use super::{Effect, OwnedPartition};
use crate::clock::Micros;
use crate::ids::{JobId, MachineId};
use crate::jobs::EndedRecord;
use crate::store::Reply;
use crate::workers::TaskDemand;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Records of ended jobs that are read at once.
const MAX_ENDED_JOB_READS: usize = 4;
/// A read without an answer is sent again after this.
const READ_RETRY_INTERVAL: Micros = Micros::from_millis(500);

/// How much is known of a job that is not the partition's.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UnknownJob {
    /// Its record is to be read, from then on.
    ReadDue { at: Micros },
    /// The read is in flight.
    Reading,
    /// Its record was read; none: it does not say.
    Known(Option<TaskDemand>),
}

/// Jobs that machines show and that are not known here.
#[derive(Default)]
pub(super) struct UnknownJobs(BTreeMap<JobId, UnknownJob>);

impl UnknownJobs {
    /// What an attempt of a job takes, if that is known; otherwise its record is read.
    pub(super) fn demand(&mut self, now: Micros, job: &JobId) -> Option<TaskDemand> {
        match self.0.entry(job.clone()) {
            Entry::Occupied(known) => match known.get() {
                UnknownJob::Known(demand) => *demand,
                UnknownJob::ReadDue { .. } | UnknownJob::Reading => None,
            },
            Entry::Vacant(new) => {
                new.insert(UnknownJob::ReadDue { at: now });
                None
            }
        }
    }

    /// The jobs whose records are to be read now, a bounded number at a time.
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
        self.0.insert(job.clone(), UnknownJob::Known(demand));
    }
}

impl OwnedPartition {
    /// Reads of the records of jobs that machines show and that are not known here.
    pub fn take_ended_job_reads(&mut self, now: Micros) -> Vec<Effect> {
        let due = self.unknown_jobs.take_due_reads(now);
        due.into_iter().map(Effect::ReadEnded).collect()
    }

    /// Takes in the store's answer to the read of an ended job's record.
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
