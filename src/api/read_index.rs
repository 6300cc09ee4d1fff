//! The read index: linearizable lookups of jobs, at a bounded rate of reads of the store.
//!
//! A lookup waits for the next read of the store's changes that is sent after the lookup
//! arrived. One read serves all pending lookups. A live job is then answered from the watch
//! cache, which is at least as new as that read. For any other job, the ended record is read
//! from the store afterwards. This order misses no job, because a job only moves from live to
//! ended, and does so in one transaction. Ended records never change, so they are cached.
//!
//! This module owns the pending lookups, the reads of ended records in flight and the cached
//! ended records. A lookup is never answered from a read that was sent before the lookup arrived.

use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::jobs::dependencies::DependencyGraph;
use crate::jobs::ranges::RangeSet;
use crate::jobs::{EndedRecord, Footprint, JobState};
use crate::store::{Reply, Versioned};
use crate::watch_cache::WatchCache;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// Time after which a pending lookup is refused. Users wait for 2 s, so they receive the refusal
/// before their timeout.
const LOOKUP_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Maximum number of pending lookups. Further lookups are refused immediately.
const MAX_PENDING_LOOKUPS: usize = 2_000;
/// Maximum number of cached ended records.
const MAX_CACHED_ENDED_RECORDS: usize = 20_000;

/// The result of a lookup of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobLookup {
    /// The job has not ended.
    Live {
        /// The revision of the job's record.
        revision: Revision,
        /// [`JobState::Running`] if any task runs, otherwise [`JobState::Pending`].
        state: JobState,
        /// Number of tasks of the job.
        tasks: u32,
        /// The resources that each task requests, and the team whose limit they count against.
        footprint: Footprint,
        /// Number of done tasks.
        done: u32,
        /// Number of running tasks.
        running: u32,
    },
    /// The job has ended.
    Ended(EndedRecord),
    /// The job does not exist.
    NotFound,
    /// The job's state cannot be determined now.
    Unavailable,
}

/// An action that the read index requests from its caller.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answers the lookup with this request id.
    AnswerJobLookup(u64, JobLookup),
    /// Reads the ended record of this job from the store.
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

/// A read of an ended record that is in flight.
struct EndedRead {
    /// A time before the read was sent. The read may answer lookups that arrived by then.
    sent_after: Micros,
    /// The request ids of the lookups that the read answers.
    request_ids: Vec<u64>,
}

/// Cache of ended records, which evicts the oldest entry first.
#[derive(Default)]
struct EndedRecordCache {
    records: BTreeMap<JobId, EndedRecord>,
    insertion_order: VecDeque<JobId>,
}

impl EndedRecordCache {
    fn get(&self, id: &JobId) -> Option<&EndedRecord> {
        self.records.get(id)
    }

    fn insert(&mut self, id: &JobId, record: &EndedRecord) {
        if self.records.insert(id.clone(), record.clone()).is_some() {
            return;
        }
        self.insertion_order.push_back(id.clone());
        if self.insertion_order.len() > MAX_CACHED_ENDED_RECORDS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}

/// The pending lookups of jobs, the reads of ended records in flight, and a cache of ended
/// records.
#[derive(Default)]
pub struct ReadIndex {
    pending: Vec<PendingLookup>,
    ended_reads: BTreeMap<JobId, EndedRead>,
    ended_records: EndedRecordCache,
}

impl ReadIndex {
    /// Begins the lookup of a job. Returns the answer if there is one immediately, otherwise
    /// `None`.
    ///
    /// If there is no recent read of the store's changes, the store is probably unreachable. The
    /// lookup is then refused instead of waiting for the next read.
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
        if let Some(record) = self.ended_records.get(&lookup.id) {
            return Some(lookup.answer(JobLookup::Ended(record.clone())));
        }
        if !has_recent_read || self.pending.len() >= MAX_PENDING_LOOKUPS {
            return Some(lookup.answer(JobLookup::Unavailable));
        }
        self.pending.push(lookup);
        None
    }

    /// Answers lookups after the cache has applied the result of a read of the store's changes
    /// that was sent at `sent_at`.
    pub fn handle_read(
        &mut self,
        sent_at: Micros,
        cache: &WatchCache,
        dependencies: &DependencyGraph,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for lookup in std::mem::take(&mut self.pending) {
            if lookup.received_at > sent_at {
                // Another controller may have answered with a newer state since the read.
                self.pending.push(lookup);
                continue;
            }
            if let Some(record) = self.ended_records.get(&lookup.id) {
                effects.push(lookup.answer(JobLookup::Ended(record.clone())));
            } else if let Some(live) = live_job(&lookup.id, cache) {
                match dependencies.is_cancelled(&lookup.id) {
                    Some(false) => effects.push(lookup.answer(live)),
                    Some(true) => effects.push(lookup.answer(cancelled_job(live))),
                    // The ended record of a dependency is still being read. If the dependency
                    // was cancelled, another controller may have answered that this job is
                    // cancelled, too, so an earlier state must not be answered here.
                    None => self.pending.push(lookup),
                }
            } else if cache.is_job_unreadable(&lookup.id) {
                // The job was accepted: after "no such job" its user would abandon it.
                effects.push(lookup.answer(JobLookup::Unavailable));
            } else {
                effects.extend(self.read_ended(lookup, sent_at));
            }
        }
        effects
    }

    /// Requests the ended record of a job, once for all lookups that the read may answer.
    fn read_ended(&mut self, lookup: PendingLookup, sent_after: Micros) -> Option<Effect> {
        match self.ended_reads.entry(lookup.id.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(EndedRead {
                    sent_after,
                    request_ids: vec![lookup.request_id],
                });
                Some(Effect::ReadEnded(lookup.id))
            }
            Entry::Occupied(mut read) if lookup.received_at <= read.get().sent_after => {
                read.get_mut().request_ids.push(lookup.request_id);
                None
            }
            // The lookup may have arrived after the read in flight was sent, so it waits for a
            // later read. The job may have been accepted and have ended since then, and the reply
            // "not found" to the earlier read would be a wrong answer.
            Entry::Occupied(_) => {
                self.pending.push(lookup);
                None
            }
        }
    }

    /// Handles the store's reply to the read of an ended record.
    pub fn handle_ended_read(&mut self, id: &JobId, reply: &Reply) -> Vec<Effect> {
        let lookup = match reply {
            Reply::Value(entry) => {
                EndedRecord::read(entry).map_or(JobLookup::Unavailable, JobLookup::Ended)
            }
            Reply::NotFound => JobLookup::NotFound,
            _ => JobLookup::Unavailable,
        };
        if let JobLookup::Ended(record) = &lookup {
            self.ended_records.insert(id, record);
        }
        let read = self.ended_reads.remove(id);
        let request_ids = read.map_or_else(Vec::new, |read| read.request_ids);
        request_ids
            .into_iter()
            .map(|request_id| Effect::AnswerJobLookup(request_id, lookup.clone()))
            .collect()
    }

    /// Refuses the lookups that have been pending for `LOOKUP_TIMEOUT` or longer.
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

/// Converts the lookup of a live job to that of a cancelled one. Used when a dependency was
/// cancelled, even if the job's own ended record is not stored yet.
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
