//! Answers how a job stands, as fresh as a read of its own and at a bounded rate.
//!
//! A question waits for the next reading of the store's changes that was begun
//! after it came: one reading serves all questions waiting. A live job is then
//! answered from the cache, which is as new as that reading. For any other the
//! record of ended jobs is read, in this order, since jobs only ever move from
//! live to ended, in one transaction: none is missed. How a job ended never
//! changes, so it is remembered.

use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::jobs::dependencies::DependencyGraph;
use crate::jobs::ranges::RangeSet;
use crate::jobs::{EndedRecord, Footprint, JobState};
use crate::store::Reply;
use crate::watch_cache::WatchCache;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// How a job stands.
#[derive(Debug, Clone, PartialEq)]
pub enum JobLookup {
    /// It is not over.
    Live {
        /// Of its record.
        revision: Revision,
        /// Whether any task runs.
        standing: JobState,
        /// How many tasks it has.
        tasks: u32,
        /// What each of them takes.
        footprint: Footprint,
        /// How many are done.
        done: u32,
        /// How many run.
        running: u32,
    },
    /// It is over.
    Ended(EndedRecord),
    /// No such job.
    NotFound,
    /// It can't be told now.
    Unavailable,
}

/// What the index wants done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer the question of this ticket.
    AnswerJobLookup(u64, JobLookup),
    /// Read the record of an ended job.
    ReadEnded(JobId),
}

struct Question {
    request_id: u64,
    id: JobId,
    at: Micros,
}

/// A record of an ended job is being read.
struct RecordRead {
    /// The read was sent after this.
    after: Micros,
    request_ids: Vec<u64>,
}

/// Questions that wait for a reading, and how jobs ended that were asked about.
#[derive(Default)]
pub struct ReadIndex {
    waiting: Vec<Question>,
    /// Records of ended jobs that are being read.
    reading: BTreeMap<JobId, RecordRead>,
    ended: BTreeMap<JobId, EndedRecord>,
    order: VecDeque<JobId>,
}

/// Users wait for 2 s: what can't be told by then is refused before.
const PATIENCE: Micros = Micros::from_millis(1_500);
const MOST_WAITING: usize = 2_000;
const MOST_REMEMBERED: usize = 20_000;

impl ReadIndex {
    /// A question. `hopeful`: readings have come of late.
    pub fn ask(
        &mut self,
        now: Micros,
        id: JobId,
        request_id: u64,
        hopeful: bool,
    ) -> Option<Effect> {
        if let Some(rec) = self.ended.get(&id) {
            return Some(Effect::AnswerJobLookup(
                request_id,
                JobLookup::Ended(rec.clone()),
            ));
        }
        if !hopeful || self.waiting.len() >= MOST_WAITING {
            return Some(Effect::AnswerJobLookup(request_id, JobLookup::Unavailable));
        }
        self.waiting.push(Question {
            request_id,
            id,
            at: now,
        });
        None
    }

    /// The cache has reached what a reading asked for at `sent` gave.
    pub fn reading(
        &mut self,
        sent: Micros,
        cache: &WatchCache,
        dependencies: &DependencyGraph,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        for q in std::mem::take(&mut self.waiting) {
            if q.at > sent {
                // That reading may be older than what another node has told since.
                self.waiting.push(q);
                continue;
            }
            if let Some(rec) = self.ended.get(&q.id) {
                out.push(Effect::AnswerJobLookup(
                    q.request_id,
                    JobLookup::Ended(rec.clone()),
                ));
            } else if let Some(found) = live(&q.id, cache) {
                match dependencies.is_cancelled(&q.id) {
                    Some(false) => out.push(Effect::AnswerJobLookup(q.request_id, found)),
                    Some(true) => out.push(Effect::AnswerJobLookup(q.request_id, cancelled(found))),
                    // Guards against an answer that goes back: another node may have told
                    // that it is cancelled with the one whose end is being read here.
                    None => self.waiting.push(q),
                }
            } else if cache.unreadable_jobs.contains(&q.id) {
                // It was accepted: "no such job" would make it forgotten.
                out.push(Effect::AnswerJobLookup(
                    q.request_id,
                    JobLookup::Unavailable,
                ));
            } else {
                out.extend(self.read_record(q, sent));
            }
        }
        out
    }

    /// Reads the record of an ended job, once for all who may be told what it says.
    fn read_record(&mut self, q: Question, now: Micros) -> Option<Effect> {
        match self.reading.entry(q.id.clone()) {
            Entry::Vacant(new) => {
                new.insert(RecordRead {
                    after: now,
                    request_ids: vec![q.request_id],
                });
                Some(Effect::ReadEnded(q.id))
            }
            Entry::Occupied(mut out) if q.at <= out.get().after => {
                out.get_mut().request_ids.push(q.request_id);
                None
            }
            // Guards against a 404 for a job that was accepted and has ended since that
            // read was sent: this question waits for a read of its own.
            Entry::Occupied(_) => {
                self.waiting.push(q);
                None
            }
        }
    }

    /// The record of an ended job was read.
    pub fn ended(&mut self, id: JobId, reply: &Reply) -> Vec<Effect> {
        let found = match reply {
            Reply::Value(row) => {
                EndedRecord::read(row).map_or(JobLookup::Unavailable, JobLookup::Ended)
            }
            Reply::NotFound => JobLookup::NotFound,
            _ => JobLookup::Unavailable,
        };
        if let JobLookup::Ended(rec) = &found
            && self.ended.insert(id.clone(), rec.clone()).is_none()
        {
            self.order.push_back(id.clone());
            if self.order.len() > MOST_REMEMBERED
                && let Some(oldest) = self.order.pop_front()
            {
                self.ended.remove(&oldest);
            }
        }
        let request_ids = self
            .reading
            .remove(&id)
            .map_or(Vec::new(), |r| r.request_ids);
        let tell = |t| Effect::AnswerJobLookup(t, found.clone());
        request_ids.into_iter().map(tell).collect()
    }

    /// Refuses what has waited for too long.
    pub fn expire(&mut self, now: Micros) -> Vec<Effect> {
        let mut out = Vec::new();
        self.waiting.retain(|q| {
            let keep = now.since(q.at) < PATIENCE;
            if !keep {
                out.push(Effect::AnswerJobLookup(
                    q.request_id,
                    JobLookup::Unavailable,
                ));
            }
            keep
        });
        out
    }
}

fn live(id: &JobId, cache: &WatchCache) -> Option<JobLookup> {
    let (revision, rec) = cache.jobs.get(id)?;
    let mut running = 0;
    let mut done = RangeSet::default();
    for (_, _, page) in cache.progress(id) {
        page.done
            .iter()
            .for_each(|(a, b)| done.insert_range(*a..*b));
        running += page.running;
    }
    Some(JobLookup::Live {
        revision: *revision,
        standing: if running > 0 {
            JobState::Running
        } else {
            JobState::Pending
        },
        tasks: rec.desc.tasks,
        footprint: rec.desc.footprint(),
        done: done.len(),
        running,
    })
}

/// A job that is cancelled with one before it, whether or not its own end is stored yet.
fn cancelled(found: JobLookup) -> JobLookup {
    match found {
        JobLookup::Live {
            tasks, footprint, ..
        } => JobLookup::Ended(EndedRecord {
            state: JobState::Cancelled,
            tasks,
            footprint: Some(footprint),
            ended_at: None,
        }),
        found => found,
    }
}

#[cfg(test)]
mod tests;
