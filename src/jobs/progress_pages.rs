//! The records of a job's finished tasks in the key-value store.
//!
//! The tasks are divided into pages. Each page is stored as one record, or as several where it does
//! not fit into one value. Every record is written on the condition that its revision is the last
//! known one.

use super::records::ProgressRecord;
use super::task_states::TaskStates;
use crate::ids::{Label, Revision};
use crate::store::{Compare, Mutation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Maximum number of tasks that a page covers.
const MAX_TASKS_PER_PAGE: u32 = 1024;
/// Minimum number of tasks that a page covers.
const MIN_TASKS_PER_PAGE: u32 = 8;
/// Bytes of JSON that are reserved for each range of a page, including its share of the other
/// fields of the record.
const RESERVED_BYTES_PER_RANGE: f64 = 40.0;
/// Bytes of JSON that are reserved in a record for all fields besides the ranges.
const RECORD_OVERHEAD_BYTES: usize = 128;
/// Bytes of JSON that a range takes besides its digits: two brackets and two commas.
const RANGE_PUNCTUATION_BYTES: usize = 4;
/// Record numbers that are reserved for each page's parts after the first one, for pages that do
/// not fit into one value.
const EXTRA_PARTS_PER_PAGE: u32 = 64;

/// Returns the number of tasks that a page covers for a value limit in KiB. It is low enough that
/// a page fits into one value even in the worst pattern, in which every other task is finished.
pub fn tasks_per_page(value_kb: f64) -> u32 {
    let ranges = value_kb * 1024.0 / RESERVED_BYTES_PER_RANGE;
    ((2.0 * ranges) as u32).clamp(MIN_TASKS_PER_PAGE, MAX_TASKS_PER_PAGE)
}

/// A compare-and-swap transaction that stores a job's progress.
#[derive(Debug)]
pub struct ProgressTransaction {
    /// Conditions: the job is live, and each record still has its last known revision.
    pub compares: Vec<Compare>,
    /// Mutations that write the records.
    pub mutations: Vec<Mutation>,
    /// Number of each record, in the order of the mutations.
    pub record_numbers: Vec<u32>,
}

/// A record that is to be written.
#[derive(Debug)]
pub(super) struct PageWrite {
    /// Number of the record.
    pub(super) number: u32,
    /// Revision of the record that is replaced; 0 if there is none.
    pub(super) replaced_revision: Revision,
    /// The new record.
    pub(super) record: ProgressRecord,
}

/// The stored records of a job's progress with their revisions, and the pages that have changed
/// since they were written.
#[derive(Debug)]
pub(super) struct ProgressPages {
    /// Number of tasks that each page covers.
    tasks_per_page: u32,
    /// Number of pages of the job.
    page_count: u32,
    /// Maximum size of a record in bytes of JSON.
    max_value_bytes: usize,
    /// Last known revision of each stored record, by the number of the record.
    revisions: BTreeMap<u32, Revision>,
    /// Pages that changed and are not being written.
    dirty: BTreeSet<u32>,
    /// The page from which the search for the next dirty page starts: the one after the last page
    /// written. Guards against pages that are never written because lower ones keep changing.
    next_page: u32,
    /// Whether the job was running according to the last record.
    recorded_running: bool,
}

impl ProgressPages {
    /// Creates the pages of a job with this number of tasks, of which nothing is stored yet.
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

    /// Limits the size of each record, in bytes of JSON.
    pub(super) fn limit_value_bytes(&mut self, max: usize) {
        self.max_value_bytes = max;
    }

    /// Returns the numbers of all stored records, in ascending order.
    pub(super) fn record_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.revisions.keys().copied()
    }

    /// Records the revision of a stored record, unless a later one is known.
    pub(super) fn set_revision(&mut self, number: u32, revision: Revision) {
        let known = self.revisions.entry(number).or_default();
        *known = revision.max(*known);
    }

    /// Restores whether the job was running when an earlier owner wrote one of its records.
    pub(super) fn restore_running(&mut self, running: bool) {
        self.recorded_running |= running;
    }

    /// Records that a task has finished, so that its page is to be written.
    pub(super) fn mark_task_dirty(&mut self, index: u32) {
        self.dirty.insert(index / self.tasks_per_page);
    }

    /// Whether the page of a task has changed and is not being written.
    pub(super) fn is_task_dirty(&self, index: u32) -> bool {
        self.dirty.contains(&(index / self.tasks_per_page))
    }

    /// Marks the pages of these records as dirty, because the records were not written or may not
    /// have been written.
    pub(super) fn mark_unwritten(&mut self, numbers: &[u32]) {
        let pages: Vec<u32> = numbers.iter().map(|number| self.page_of(*number)).collect();
        self.dirty.extend(pages);
    }

    /// Whether a page has changed and is not being written.
    pub(super) fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether the job started or stopped running since its state was last recorded.
    pub(super) fn running_changed(&self, running_count: u32) -> bool {
        self.recorded_running != (running_count > 0)
    }

    /// Returns the records to be written next, at most `max_records`. Their pages are no longer
    /// marked as dirty, except a page of which only some records fit.
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
                // The remaining records follow with the next write. No attempt of a dirty page is
                // reaped.
                self.dirty.insert(page);
                break;
            }
        }
        writes
    }

    /// Returns the records of a page: one, or several if the page does not fit into one value.
    ///
    /// Guards against a page that could never be written again, because an earlier version wrote it
    /// under a higher value limit. The additional records have numbers above those of all pages.
    /// Readers of every version merge all records of a job, so they need not know of the parts.
    fn page_records(&self, page: u32, tasks: &TaskStates, owner: &Label) -> Vec<PageWrite> {
        let page_tasks = page * self.tasks_per_page..(page + 1) * self.tasks_per_page;
        let parts = self.split_into_values(tasks.done().slice(page_tasks));
        let page_write = |(part, done): (u32, Vec<(u32, u32)>)| {
            let number = self.record_number(page, part);
            let is_first = page == 0 && part == 0;
            PageWrite {
                number,
                replaced_revision: self.revisions.get(&number).copied().unwrap_or_default(),
                record: ProgressRecord {
                    owner: Some(owner.clone()),
                    done,
                    running: if is_first { tasks.running_count() } else { 0 },
                },
            }
        };
        (0..).zip(parts).map(page_write).collect()
    }

    /// Divides ranges into parts that fit into one value each. Returns at least one part.
    fn split_into_values(&self, ranges: Vec<Range<u32>>) -> Vec<Vec<(u32, u32)>> {
        let max_bytes = self.max_value_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
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

    /// Returns the record number of a part of a page.
    fn record_number(&self, page: u32, part: u32) -> u32 {
        match part {
            0 => page,
            _ => self.page_count + page * EXTRA_PARTS_PER_PAGE + part - 1,
        }
    }

    /// Returns the page to which a record belongs.
    fn page_of(&self, number: u32) -> u32 {
        match number.checked_sub(self.page_count) {
            Some(extra_part) => extra_part / EXTRA_PARTS_PER_PAGE,
            None => number,
        }
    }

    /// Removes the mark of the next dirty page and returns the page. Pages take turns in ascending
    /// order, starting over after the last one. Returns `None` if no page is dirty.
    fn take_dirty_page(&mut self) -> Option<u32> {
        let next = self.dirty.range(self.next_page..).next();
        let page = *next.or(self.dirty.first())?;
        self.dirty.remove(&page);
        self.next_page = page + 1;
        Some(page)
    }
}

/// Returns the number of decimal digits of a number.
fn digit_count(number: u32) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}
