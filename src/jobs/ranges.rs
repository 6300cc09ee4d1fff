//! Sets of task indexes as compact ranges: a job may have 100,000 tasks.

use std::collections::BTreeMap;
use std::ops::Range;

/// A set of task indexes, held as disjoint half-open ranges that don't touch each other.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RangeSet {
    /// The end of each range, by its start.
    ends: BTreeMap<u32, u32>,
    len: u32,
}

impl RangeSet {
    /// All from 0 to below `count`.
    pub fn full(count: u32) -> Self {
        let mut set = RangeSet::default();
        set.insert_range(0..count);
        set
    }

    /// How many indexes are in it.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether no index is in it.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether an index is in it.
    pub fn contains(&self, index: u32) -> bool {
        self.range_at(index).is_some_and(|range| index < range.end)
    }

    /// The lowest index.
    pub fn first(&self) -> Option<u32> {
        self.ends.first_key_value().map(|(&start, _)| start)
    }

    /// The index that comes `position` places after the lowest one.
    pub fn nth(&self, position: u32) -> Option<u32> {
        let mut left = position;
        for range in self.ranges() {
            let length = range.end - range.start;
            if left < length {
                return Some(range.start + left);
            }
            left -= length;
        }
        None
    }

    /// Adds an index; false if it was there.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        self.insert_range(index..index + 1);
        true
    }

    /// Adds all indexes of a range, which may be empty or overlap others.
    pub fn insert_range(&mut self, range: Range<u32>) {
        if range.is_empty() {
            return;
        }
        let (mut start, mut end) = (range.start, range.end);
        while let Some(touching) = self.range_at(end).filter(|other| other.end >= start) {
            self.remove_range(&touching);
            start = start.min(touching.start);
            end = end.max(touching.end);
        }
        self.ends.insert(start, end);
        self.len += end - start;
    }

    /// Takes an index out; false if it was not there.
    pub fn remove(&mut self, index: u32) -> bool {
        let Some(range) = self.range_at(index).filter(|range| index < range.end) else {
            return false;
        };
        self.remove_range(&range);
        self.insert_range(range.start..index);
        self.insert_range(index + 1..range.end);
        true
    }

    /// Its ranges, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.ends.iter().map(|(&start, &end)| start..end)
    }

    /// The part of the set that lies in `window`.
    pub fn slice(&self, window: Range<u32>) -> Vec<Range<u32>> {
        self.ranges()
            .map(|range| range.start.max(window.start)..range.end.min(window.end))
            .filter(|range| !range.is_empty())
            .collect()
    }

    /// The last range that starts at or before an index.
    fn range_at(&self, index: u32) -> Option<Range<u32>> {
        let (&start, &end) = self.ends.range(..=index).next_back()?;
        Some(start..end)
    }

    fn remove_range(&mut self, range: &Range<u32>) {
        self.ends.remove(&range.start);
        self.len -= range.end - range.start;
    }
}

#[cfg(test)]
mod tests;
