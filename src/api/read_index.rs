//! Answers how a job stands, as fresh as a read of its own and at a bounded rate.
//!
//! A question waits for the next reading of the store's changes that was begun
//! after it came: one reading serves all questions waiting. A live job is then
//! answered from the mirror, which is as new as that reading. For any other the
//! record of ended jobs is read, in this order, since jobs only ever move from
//! live to ended, in one transaction: none is missed. How a job ended never
//! changes, so it is remembered.

use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::jobs::dependencies::DependencyGraph;
use crate::jobs::ranges::RangeSet;
use crate::jobs::{EndedRecord, Footprint, Standing};
use crate::store::Reply;
use crate::store::mirror::Mirror;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// How a job stands.
#[derive(Debug, Clone, PartialEq)]
pub enum Found {
    /// It is not over.
    Live {
        /// Of its record.
        revision: Revision,
        /// Whether any task runs.
        standing: Standing,
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
    Nothing,
    /// It can't be told now.
    Unreadable,
}

/// What the index wants done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer the question of this ticket.
    Found(u64, Found),
    /// Read the record of an ended job.
    ReadEnded(JobId),
}

struct Question {
    ticket: u64,
    id: JobId,
    at: Micros,
}

/// A record of an ended job is being read.
struct RecordRead {
    /// The read was sent after this.
    after: Micros,
    tickets: Vec<u64>,
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
    pub fn ask(&mut self, now: Micros, id: JobId, ticket: u64, hopeful: bool) -> Option<Effect> {
        if let Some(rec) = self.ended.get(&id) {
            return Some(Effect::Found(ticket, Found::Ended(rec.clone())));
        }
        if !hopeful || self.waiting.len() >= MOST_WAITING {
            return Some(Effect::Found(ticket, Found::Unreadable));
        }
        self.waiting.push(Question {
            ticket,
            id,
            at: now,
        });
        None
    }

    /// The mirror has reached what a reading asked for at `sent` gave.
    pub fn reading(
        &mut self,
        sent: Micros,
        mirror: &Mirror,
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
                out.push(Effect::Found(q.ticket, Found::Ended(rec.clone())));
            } else if let Some(found) = live(&q.id, mirror) {
                match dependencies.is_cancelled(&q.id) {
                    Some(false) => out.push(Effect::Found(q.ticket, found)),
                    Some(true) => out.push(Effect::Found(q.ticket, cancelled(found))),
                    // Guards against an answer that goes back: another node may have told
                    // that it is cancelled with the one whose end is being read here.
                    None => self.waiting.push(q),
                }
            } else if mirror.unreadable_jobs.contains(&q.id) {
                // It was accepted: "no such job" would make it forgotten.
                out.push(Effect::Found(q.ticket, Found::Unreadable));
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
                    tickets: vec![q.ticket],
                });
                Some(Effect::ReadEnded(q.id))
            }
            Entry::Occupied(mut out) if q.at <= out.get().after => {
                out.get_mut().tickets.push(q.ticket);
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
            Reply::Found(row) => EndedRecord::read(row).map_or(Found::Unreadable, Found::Ended),
            Reply::Missing => Found::Nothing,
            _ => Found::Unreadable,
        };
        if let Found::Ended(rec) = &found
            && self.ended.insert(id.clone(), rec.clone()).is_none()
        {
            self.order.push_back(id.clone());
            if self.order.len() > MOST_REMEMBERED
                && let Some(oldest) = self.order.pop_front()
            {
                self.ended.remove(&oldest);
            }
        }
        let tickets = self.reading.remove(&id).map_or(Vec::new(), |r| r.tickets);
        let tell = |t| Effect::Found(t, found.clone());
        tickets.into_iter().map(tell).collect()
    }

    /// Refuses what has waited for too long.
    pub fn expire(&mut self, now: Micros) -> Vec<Effect> {
        let mut out = Vec::new();
        self.waiting.retain(|q| {
            let keep = now.since(q.at) < PATIENCE;
            if !keep {
                out.push(Effect::Found(q.ticket, Found::Unreadable));
            }
            keep
        });
        out
    }
}

fn live(id: &JobId, mirror: &Mirror) -> Option<Found> {
    let (revision, rec) = mirror.jobs.get(id)?;
    let mut running = 0;
    let mut done = RangeSet::default();
    for (_, _, page) in mirror.progress(id) {
        page.done.iter().for_each(|(a, b)| done.add(*a, *b));
        running += page.running;
    }
    Some(Found::Live {
        revision: *revision,
        standing: if running > 0 {
            Standing::Running
        } else {
            Standing::Pending
        },
        tasks: rec.desc.tasks,
        footprint: rec.desc.footprint(),
        done: done.len(),
        running,
    })
}

/// A job that is cancelled with one before it, whether or not its own end is stored yet.
fn cancelled(found: Found) -> Found {
    match found {
        Found::Live {
            tasks, footprint, ..
        } => Found::Ended(EndedRecord {
            standing: Standing::Cancelled,
            tasks,
            footprint: Some(footprint),
            at: None,
        }),
        found => found,
    }
}

#[cfg(test)]
mod tests;
