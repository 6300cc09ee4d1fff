//! How a job's finished tasks are recorded in the key-value store: in pages of tasks, each
//! of one record, or of several where one value can't hold it.

use super::records::ProgressRecord;
use super::task_states::TaskStates;
use crate::ids::{Label, Revision};
use crate::store::{Compare, Mutation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// A page covers at most this many tasks.
const MAX_TASKS_PER_PAGE: u32 = 1024;
/// A page covers at least this many tasks.
const MIN_TASKS_PER_PAGE: u32 = 8;
/// What a range may take as JSON, with room for the rest of its record.
const RANGE_BYTES: f64 = 40.0;
/// What a record takes besides its ranges.
const RECORD_BYTES: usize = 128;
/// What a range takes besides its digits.
const RANGE_PUNCTUATION_BYTES: usize = 4;
/// Further records that each page may be split into where it does not fit into one value.
const PARTS_PER_PAGE: u32 = 64;

/// How many tasks a page covers for a value limit in KiB: even the worst pattern, every
/// other task finished, stays below what a value may hold.
pub fn tasks_per_page(value_kb: f64) -> u32 {
    let ranges = value_kb * 1024.0 / RANGE_BYTES;
    ((2.0 * ranges) as u32).clamp(MIN_TASKS_PER_PAGE, MAX_TASKS_PER_PAGE)
}

/// A compare-and-swap that records progress.
#[derive(Debug)]
pub struct ProgressTransaction {
    /// The job is live, and nobody else wrote its pages meanwhile.
    pub compares: Vec<Compare>,
    /// The records.
    pub mutations: Vec<Mutation>,
    /// The number of each record, in the order of the mutations.
    pub record_numbers: Vec<u32>,
}

/// A record that is to be written, and the revision that it replaces.
#[derive(Debug)]
pub(super) struct PageWrite {
    pub(super) number: u32,
    pub(super) replaces: Revision,
    pub(super) record: ProgressRecord,
}

/// Which pages of a job's progress are recorded, at which revision, and which have changed
/// since.
#[derive(Debug)]
pub(super) struct ProgressPages {
    tasks_per_page: u32,
    page_count: u32,
    /// No record is larger than this, as JSON.
    max_value_bytes: usize,
    /// By the number of the record.
    revisions: BTreeMap<u32, Revision>,
    /// Pages that changed and are not being written.
    dirty: BTreeSet<u32>,
    /// The page after the last one that was written. Guards against pages that are never
    /// written while lower ones go on changing.
    next_page: u32,
    /// Whether the job was last recorded as running.
    recorded_running: bool,
}

impl ProgressPages {
    /// Nothing is recorded.
    pub(super) fn new(tasks: u32, tasks_per_page: u32) -> ProgressPages {
        ProgressPages {
            tasks_per_page,
            page_count: tasks.div_ceil(tasks_per_page),
            max_value_bytes: usize::MAX,
            revisions: BTreeMap::new(),
            dirty: BTreeSet::new(),
            next_page: 0,
            recorded_running: false,
        }
    }

    pub(super) fn limit_value_bytes(&mut self, max: usize) {
        self.max_value_bytes = max;
    }

    /// Numbers of all records, in ascending order.
    pub(super) fn record_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.revisions.keys().copied()
    }

    /// A record has this revision now, or a later one.
    pub(super) fn set_revision(&mut self, number: u32, revision: Revision) {
        let known = self.revisions.entry(number).or_default();
        *known = revision.max(*known);
    }

    /// An earlier owner recorded whether the job runs.
    pub(super) fn restore_running(&mut self, running: bool) {
        self.recorded_running |= running;
    }

    /// The task is finished, and its page is to be written.
    pub(super) fn mark_task_dirty(&mut self, index: u32) {
        self.dirty.insert(index / self.tasks_per_page);
    }

    /// Whether the page of this task is to be written, and not being written.
    pub(super) fn is_task_dirty(&self, index: u32) -> bool {
        self.dirty.contains(&(index / self.tasks_per_page))
    }

    /// These records were not written, or may not have been.
    pub(super) fn mark_unwritten(&mut self, numbers: &[u32]) {
        let pages: Vec<u32> = numbers.iter().map(|number| self.page_of(*number)).collect();
        self.dirty.extend(pages);
    }

    /// Whether a page changed since it was written.
    pub(super) fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether the job began or ceased to run since that was recorded.
    pub(super) fn running_changed(&self, running_count: u32) -> bool {
        self.recorded_running != (running_count > 0)
    }

    /// The records to be written next, at most `max_records`, which no longer count as dirty.
    pub(super) fn take_writes(
        &mut self,
        tasks: &TaskStates,
        owner: &Label,
        max_records: usize,
    ) -> Vec<PageWrite> {
        if self.running_changed(tasks.running_count()) {
            self.dirty.insert(0);
        }
        let mut writes = Vec::new();
        while writes.len() < max_records {
            let Some(page) = self.take_dirty_page() else {
                break;
            };
            let records = self.page_records(page, tasks, owner);
            if !writes.is_empty() && writes.len() + records.len() > max_records {
                self.dirty.insert(page);
                self.next_page = page;
                break;
            }
            if page == 0 {
                self.recorded_running = tasks.running_count() > 0;
            }
            let is_partial = records.len() > max_records;
            writes.extend(records.into_iter().take(max_records));
            if is_partial {
                // The rest comes with the next write; until then no attempt of it is reaped.
                self.dirty.insert(page);
                break;
            }
        }
        writes
    }

    /// The records of a page: one, or more where it does not fit into a value.
    /// Guards against a page that an earlier version wrote under a higher limit, and that
    /// could never be written again. The further ones have numbers beyond those of all
    /// pages: readers of every version join what all records say.
    fn page_records(&self, page: u32, tasks: &TaskStates, owner: &Label) -> Vec<PageWrite> {
        let page_tasks = page * self.tasks_per_page..(page + 1) * self.tasks_per_page;
        let parts = self.split_into_values(tasks.done().slice(page_tasks));
        let page_write = |(part, done): (u32, Vec<(u32, u32)>)| {
            let number = self.record_number(page, part);
            let is_first = page == 0 && part == 0;
            PageWrite {
                number,
                replaces: self.revisions.get(&number).copied().unwrap_or_default(),
                record: ProgressRecord {
                    owner: Some(owner.clone()),
                    done,
                    running: if is_first { tasks.running_count() } else { 0 },
                },
            }
        };
        (0..).zip(parts).map(page_write).collect()
    }

    /// The ranges in parts that fit into one value each; at least one part.
    fn split_into_values(&self, ranges: Vec<Range<u32>>) -> Vec<Vec<(u32, u32)>> {
        let max_bytes = self.max_value_bytes.saturating_sub(RECORD_BYTES);
        let mut parts = Vec::new();
        let (mut part, mut part_bytes) = (Vec::new(), 0);
        for range in ranges {
            let bytes = digit_count(range.start) + digit_count(range.end) + RANGE_PUNCTUATION_BYTES;
            if part_bytes + bytes > max_bytes && !part.is_empty() {
                parts.push(std::mem::take(&mut part));
                part_bytes = 0;
            }
            part_bytes += bytes;
            part.push((range.start, range.end));
        }
        parts.push(part);
        parts
    }

    /// The number under which a part of a page is recorded.
    fn record_number(&self, page: u32, part: u32) -> u32 {
        match part {
            0 => page,
            _ => self.page_count + page * PARTS_PER_PAGE + part - 1,
        }
    }

    /// The page that a record is a part of.
    fn page_of(&self, number: u32) -> u32 {
        match number.checked_sub(self.page_count) {
            Some(further) => further / PARTS_PER_PAGE,
            None => number,
        }
    }

    /// The next dirty page in turn.
    fn take_dirty_page(&mut self) -> Option<u32> {
        let next = self.dirty.range(self.next_page..).next();
        let page = *next.or(self.dirty.first())?;
        self.dirty.remove(&page);
        self.next_page = page + 1;
        Some(page)
    }
}

/// How many decimal digits a number has.
fn digit_count(number: u32) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}
