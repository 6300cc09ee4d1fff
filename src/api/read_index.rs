//! The read index: linearizable lookups of jobs, at a bounded rate of reads.
//!
//! A lookup waits for the next read of the store's changes that was sent after it came: one
//! read serves all pending lookups. A live job is then answered from the watch cache, which
//! is as new as that read. For any other, the record of its end is read, in this order, since
//! jobs only ever move from live to ended, in one transaction: none is missed. How a job
//! ended never changes, so it is cached.
//!
//! Owns the pending lookups, the reads in flight and the cached ends. It must never answer
//! from a read that was sent before the lookup came.

use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::jobs::dependencies::DependencyGraph;
use crate::jobs::ranges::RangeSet;
use crate::jobs::{EndedRecord, Footprint, JobState};
use crate::store::{Reply, Versioned};
use crate::watch_cache::WatchCache;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// How long a lookup may be pending. Users wait for 2 s: what can't be answered by then is
/// refused before.
const LOOKUP_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Further lookups are refused at once.
const MAX_PENDING_LOOKUPS: usize = 2_000;
/// How many ends of jobs are cached.
const MAX_CACHED_ENDS: usize = 20_000;

/// The result of a lookup of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobLookup {
    /// It has not ended.
    Live {
        /// The revision of its record.
        revision: Revision,
        /// Running if any of its tasks is, else pending.
        state: JobState,
        /// How many tasks it has.
        tasks: u32,
        /// What each of them takes.
        footprint: Footprint,
        /// How many are done.
        done: u32,
        /// How many run.
        running: u32,
    },
    /// It has ended.
    Ended(EndedRecord),
    /// There is no such job.
    NotFound,
    /// It can't be read now.
    Unavailable,
}

/// What the read index wants done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer the lookup with this request id.
    AnswerJobLookup(u64, JobLookup),
    /// Read the record of an ended job.
    ReadEnded(JobId),
}

struct PendingLookup {
    request_id: u64,
    id: JobId,
    received_at: Micros,
}

impl PendingLookup {
    fn answer(&self, lookup: JobLookup) -> Effect {
        Effect::AnswerJobLookup(self.request_id, lookup)
    }
}

/// A read of the record of an ended job that is in flight.
struct EndedRead {
    /// The read was sent after this.
    sent_after: Micros,
    /// The lookups that it answers.
    request_ids: Vec<u64>,
}

/// How jobs ended, the last ones that were looked up.
#[derive(Default)]
struct EndedJobs {
    records: BTreeMap<JobId, EndedRecord>,
    insertion_order: VecDeque<JobId>,
}

impl EndedJobs {
    fn get(&self, id: &JobId) -> Option<&EndedRecord> {
        self.records.get(id)
    }

    fn insert(&mut self, id: &JobId, record: &EndedRecord) {
        if self.records.insert(id.clone(), record.clone()).is_some() {
            return;
        }
        self.insertion_order.push_back(id.clone());
        if self.insertion_order.len() > MAX_CACHED_ENDS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}

/// The pending lookups of jobs, and how looked-up jobs ended.
#[derive(Default)]
pub struct ReadIndex {
    pending: Vec<PendingLookup>,
    ended_reads: BTreeMap<JobId, EndedRead>,
    ended_jobs: EndedJobs,
}

impl ReadIndex {
    /// Begins to look up a job: gives the answer if there is one at once. Without a recent
    /// read of the store's changes there is none to wait for.
    pub fn begin_lookup(
        &mut self,
        now: Micros,
        id: JobId,
        request_id: u64,
        has_recent_read: bool,
    ) -> Option<Effect> {
        let lookup = PendingLookup {
            request_id,
            id,
            received_at: now,
        };
        if let Some(record) = self.ended_jobs.get(&lookup.id) {
            return Some(lookup.answer(JobLookup::Ended(record.clone())));
        }
        if !has_recent_read || self.pending.len() >= MAX_PENDING_LOOKUPS {
            return Some(lookup.answer(JobLookup::Unavailable));
        }
        self.pending.push(lookup);
        None
    }

    /// The cache has reached the result of a read of the store's changes that was sent at
    /// `sent_at`.
    pub fn handle_read(
        &mut self,
        sent_at: Micros,
        cache: &WatchCache,
        dependencies: &DependencyGraph,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for lookup in std::mem::take(&mut self.pending) {
            if lookup.received_at > sent_at {
                // That read may be older than what another controller has answered since.
                self.pending.push(lookup);
                continue;
            }
            if let Some(record) = self.ended_jobs.get(&lookup.id) {
                effects.push(lookup.answer(JobLookup::Ended(record.clone())));
            } else if let Some(live) = live_job(&lookup.id, cache) {
                match dependencies.is_cancelled(&lookup.id) {
                    Some(false) => effects.push(lookup.answer(live)),
                    Some(true) => effects.push(lookup.answer(cancelled_job(live))),
                    // Guards against an answer that goes back: another controller may have
                    // answered that it is cancelled with the dependency whose end is being
                    // read here.
                    None => self.pending.push(lookup),
                }
            } else if cache.is_job_unreadable(&lookup.id) {
                // It was accepted: "no such job" would make its user give it up.
                effects.push(lookup.answer(JobLookup::Unavailable));
            } else {
                effects.extend(self.read_ended(lookup, sent_at));
            }
        }
        effects
    }

    /// Reads the record of an ended job, once for all lookups that it may answer.
    fn read_ended(&mut self, lookup: PendingLookup, now: Micros) -> Option<Effect> {
        match self.ended_reads.entry(lookup.id.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(EndedRead {
                    sent_after: now,
                    request_ids: vec![lookup.request_id],
                });
                Some(Effect::ReadEnded(lookup.id))
            }
            Entry::Occupied(mut read) if lookup.received_at <= read.get().sent_after => {
                read.get_mut().request_ids.push(lookup.request_id);
                None
            }
            // Guards against a 404 for a job that was accepted and has ended since that
            // read was sent: this lookup waits for a read of its own.
            Entry::Occupied(_) => {
                self.pending.push(lookup);
                None
            }
        }
    }

    /// Handles the store's reply to the read of an ended job's record.
    pub fn handle_ended_read(&mut self, id: &JobId, reply: &Reply) -> Vec<Effect> {
        let lookup = match reply {
            Reply::Value(row) => {
                EndedRecord::read(row).map_or(JobLookup::Unavailable, JobLookup::Ended)
            }
            Reply::NotFound => JobLookup::NotFound,
            _ => JobLookup::Unavailable,
        };
        if let JobLookup::Ended(record) = &lookup {
            self.ended_jobs.insert(id, record);
        }
        let read = self.ended_reads.remove(id);
        let request_ids = read.map_or_else(Vec::new, |read| read.request_ids);
        request_ids
            .into_iter()
            .map(|request_id| Effect::AnswerJobLookup(request_id, lookup.clone()))
            .collect()
    }

    /// Refuses the lookups that have been pending for too long.
    pub fn expire(&mut self, now: Micros) -> Vec<Effect> {
        let has_expired =
            |lookup: &mut PendingLookup| now.since(lookup.received_at) >= LOOKUP_TIMEOUT;
        self.pending
            .extract_if(.., has_expired)
            .map(|lookup| lookup.answer(JobLookup::Unavailable))
            .collect()
    }
}

fn live_job(id: &JobId, cache: &WatchCache) -> Option<JobLookup> {
    let Versioned { revision, record } = cache.jobs.get(id)?;
    let mut running = 0;
    let mut done = RangeSet::default();
    for (_, _, page) in cache.progress(id) {
        for (first, end) in page.done.iter() {
            done.insert_range(*first..*end);
        }
        running += page.running;
    }
    let state = if running > 0 {
        JobState::Running
    } else {
        JobState::Pending
    };
    Some(JobLookup::Live {
        revision: *revision,
        state,
        tasks: record.desc.tasks,
        footprint: record.desc.footprint(),
        done: done.len(),
        running,
    })
}

/// A job that is cancelled with one of its dependencies, whether or not its own end is
/// stored yet.
fn cancelled_job(lookup: JobLookup) -> JobLookup {
    match lookup {
        JobLookup::Live {
            tasks, footprint, ..
        } => JobLookup::Ended(EndedRecord {
            state: JobState::Cancelled,
            tasks,
            footprint: Some(footprint),
            ended_at: None,
        }),
        other => other,
    }
}

#[cfg(test)]
mod tests;
