//! How a job's finished tasks are recorded, in pages.

use super::Job;
use super::records::ProgressRecord;
use crate::ids::{Label, Revision};
use crate::store::{self, Compare, Mutation, compare, keys};

/// Finished tasks are kept in pages of at most this many.
const PAGE: u32 = 1024;
/// What a range may take as JSON, with room for the rest of its record.
const RANGE_BYTES: f64 = 40.0;
/// What a page of progress takes besides its ranges.
const PAGE_BYTES: usize = 128;
/// What a range takes besides its digits.
const RANGE_SIGNS: usize = 4;
/// Further records that each page may be split into where it does not fit into one value.
const PARTS_PER_PAGE: u32 = 64;

/// How many digits a number has.
fn digits(n: u32) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

/// How many tasks a page of progress covers: even the worst pattern, every other
/// task finished, stays below what a value may hold.
pub fn page_tasks(value_kb: f64) -> u32 {
    let ranges = value_kb * 1024.0 / RANGE_BYTES;
    ((2.0 * ranges) as u32).clamp(8, PAGE)
}

impl Job {
    /// What an earlier owner recorded. Pages need not be cut as ours are.
    pub fn recall(&mut self, page: u32, revision: Revision, rec: &ProgressRecord) {
        for (a, b) in &rec.done {
            let b = (*b).min(self.desc.tasks);
            self.done.add(*a, b);
            for i in *a..b {
                self.waiting.remove(i);
            }
        }
        self.shown_running |= rec.running > 0;
        self.page_changed(page, revision);
    }

    /// A page of it has this revision now, as our write's answer or the watch says.
    pub fn page_changed(&mut self, page: u32, revision: Revision) {
        let kept = self.pages.entry(page).or_default();
        *kept = revision.max(*kept);
    }

    /// Progress since the last write, in at most `most` pages, and which those are.
    pub fn progress_ops(
        &mut self,
        owner: &Label,
        most: usize,
    ) -> (Vec<Compare>, Vec<Mutation>, Vec<u32>) {
        let id = self.desc.id.clone();
        if self.shown_running == self.running.is_empty() {
            self.dirty.insert(0);
        }
        // A late write of ours must not undo a later one: each page has its revision.
        let mut compares = vec![compare(keys::job(&id), self.revision)];
        let (mut mutations, mut pages) = (Vec::new(), Vec::new());
        while mutations.len() < most {
            let Some(page) = self.take_dirty_page() else {
                break;
            };
            let records = self.page_records(page, owner);
            if !mutations.is_empty() && mutations.len() + records.len() > most {
                self.dirty.insert(page);
                self.next_page = page;
                break;
            }
            if page == 0 {
                self.shown_running = !self.running.is_empty();
            }
            if records.len() > most {
                // What does not fit now comes with the next write, and is not reaped before.
                self.dirty.insert(page);
            }
            for (number, rec) in records.into_iter().take(most) {
                let key = keys::progress_page(&id, number);
                let revision = self.pages.get(&number).copied().unwrap_or_default();
                compares.push(compare(key.clone(), revision));
                mutations.push(store::put(key, &rec));
                pages.push(number);
            }
            if self.dirty.contains(&page) {
                break;
            }
        }
        (compares, mutations, pages)
    }

    /// What is recorded of a page: one record, or more where it does not fit into a value.
    /// Guards against a page that an earlier version wrote under a higher limit, and that
    /// could never be written again. The further ones have numbers beyond those of all
    /// pages: readers of every version join what all records say.
    pub(super) fn page_records(&self, page: u32, owner: &Label) -> Vec<(u32, ProgressRecord)> {
        let room = self.value_bytes.saturating_sub(PAGE_BYTES);
        let mut records = Vec::new();
        let (mut done, mut bytes) = (Vec::new(), 0);
        for range in self.done.slice(page * self.page, (page + 1) * self.page) {
            let length = digits(range.0) + digits(range.1) + RANGE_SIGNS;
            if bytes + length > room && !done.is_empty() {
                records.push(std::mem::take(&mut done));
                bytes = 0;
            }
            bytes += length;
            done.push(range);
        }
        records.push(done);
        let running = if page == 0 {
            self.running.len() as u32
        } else {
            0
        };
        let record = |(part, done)| {
            let rec = ProgressRecord {
                owner: Some(owner.clone()),
                done,
                running: if part == 0 { running } else { 0 },
            };
            (self.record_number(page, part), rec)
        };
        (0..).zip(records).map(record).collect()
    }

    pub(super) fn page_count(&self) -> u32 {
        self.desc.tasks.div_ceil(self.page)
    }

    /// The number under which a part of a page is recorded.
    pub(super) fn record_number(&self, page: u32, part: u32) -> u32 {
        match part {
            0 => page,
            _ => self.page_count() + page * PARTS_PER_PAGE + part - 1,
        }
    }

    /// The page that a record is a part of.
    pub(super) fn page_of(&self, number: u32) -> u32 {
        match number.checked_sub(self.page_count()) {
            Some(part) => part / PARTS_PER_PAGE,
            None => number,
        }
    }

    /// The next page to be written, in turn.
    pub(super) fn take_dirty_page(&mut self) -> Option<u32> {
        let next = self.dirty.range(self.next_page..).next();
        let page = *next.or(self.dirty.first())?;
        self.dirty.remove(&page);
        self.next_page = page + 1;
        Some(page)
    }

    /// Whether the page of this task is still to be recorded, and not on its way to be.
    pub fn is_dirty(&self, index: u32) -> bool {
        self.dirty.contains(&(index / self.page))
    }

    /// These pages were not written, or may not have been.
    pub fn unwritten(&mut self, pages: &[u32]) {
        let pages: Vec<u32> = pages.iter().map(|n| self.page_of(*n)).collect();
        self.dirty.extend(pages);
    }
}
