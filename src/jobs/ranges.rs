//! Sets of task indexes, stored compactly as ranges because a job may have 100,000 tasks.

use std::collections::BTreeMap;
use std::ops::Range;

/// A set of task indexes, stored as disjoint half-open ranges. Adjacent ranges are merged.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RangeSet {
    /// The end of each range, by its start.
    ends: BTreeMap<u32, u32>,
    len: u32,
}

impl RangeSet {
    /// Creates the set of all indexes from 0 up to, but not including, `count`.
    pub fn full(count: u32) -> Self {
        let mut set = RangeSet::default();
        set.insert_range(0..count);
        set
    }

    /// Returns the number of indexes in the set.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether the set has no index.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the set has an index.
    pub fn contains(&self, index: u32) -> bool {
        self.range_at(index).is_some_and(|range| index < range.end)
    }

    /// Returns the lowest index, or `None` if the set is empty.
    pub fn first(&self) -> Option<u32> {
        self.ends.first_key_value().map(|(&start, _)| start)
    }

    /// Returns the index at `position` in ascending order, counted from 0, or `None` if the set
    /// has no more than `position` indexes.
    pub fn nth(&self, position: u32) -> Option<u32> {
        let mut offset = position;
        for range in self.ranges() {
            let length = range.end - range.start;
            if offset < length {
                return Some(range.start + offset);
            }
            offset -= length;
        }
        None
    }

    /// Adds an index. Returns whether it was added; `false` means that the set had it already.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        self.insert_range(index..index + 1);
        true
    }

    /// Adds all indexes of a range. The range may be empty and may overlap ranges of the set.
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

    /// Removes an index. Returns whether it was removed; `false` means that the set did not have
    /// it.
    pub fn remove(&mut self, index: u32) -> bool {
        let Some(range) = self.range_at(index).filter(|range| index < range.end) else {
            return false;
        };
        self.remove_range(&range);
        self.insert_range(range.start..index);
        self.insert_range(index + 1..range.end);
        true
    }

    /// Returns the ranges of the set in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.ends.iter().map(|(&start, &end)| start..end)
    }

    /// Returns the ranges of the part of the set that lies in `window`, in ascending order.
    pub fn slice(&self, window: Range<u32>) -> Vec<Range<u32>> {
        self.ranges()
            .map(|range| range.start.max(window.start)..range.end.min(window.end))
            .filter(|range| !range.is_empty())
            .collect()
    }

    /// Returns the last range that starts at or before an index.
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
