//! Sets of task numbers as compact ranges: 100,000 tasks is a legal job.

use std::collections::BTreeMap;

/// A set of numbers, held as disjoint half-open ranges.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RangeSet {
    ranges: BTreeMap<u32, u32>,
    len: u32,
}

impl RangeSet {
    /// From ranges, each with its end excluded.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let mut set = RangeSet::default();
        for (a, b) in pairs {
            set.add(a, b);
        }
        set
    }

    /// All from 0 to below `n`.
    pub fn full(n: u32) -> Self {
        RangeSet::from_pairs([(0, n)])
    }

    /// How many numbers are in it.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether none is in it.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether a number is in it.
    pub fn contains(&self, i: u32) -> bool {
        self.ranges
            .range(..=i)
            .next_back()
            .is_some_and(|(_, &end)| i < end)
    }

    /// The least number.
    pub fn first(&self) -> Option<u32> {
        self.ranges.first_key_value().map(|(&a, _)| a)
    }

    /// Adds a number; false if it was there.
    pub fn insert(&mut self, i: u32) -> bool {
        if self.contains(i) {
            return false;
        }
        self.add(i, i + 1);
        true
    }

    /// Adds `a..b`, joining what touches it.
    pub fn add(&mut self, mut a: u32, mut b: u32) {
        if a >= b {
            return;
        }
        while let Some((&s, &e)) = self.ranges.range(..=b).next_back() {
            if e < a {
                break;
            }
            self.ranges.remove(&s);
            self.len -= e - s;
            a = a.min(s);
            b = b.max(e);
        }
        self.ranges.insert(a, b);
        self.len += b - a;
    }

    /// Takes a number out; false if it was not there.
    pub fn remove(&mut self, i: u32) -> bool {
        let Some((&s, &e)) = self.ranges.range(..=i).next_back() else {
            return false;
        };
        if i >= e {
            return false;
        }
        self.ranges.remove(&s);
        if s < i {
            self.ranges.insert(s, i);
        }
        if i + 1 < e {
            self.ranges.insert(i + 1, e);
        }
        self.len -= 1;
        true
    }

    /// Its ranges, each with its end excluded.
    pub fn pairs(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.ranges.iter().map(|(&a, &b)| (a, b))
    }

    /// The part of the set that lies in `from..to`.
    pub fn slice(&self, from: u32, to: u32) -> Vec<(u32, u32)> {
        let clip = |(a, b): (u32, u32)| (a.max(from), b.min(to));
        self.pairs().map(clip).filter(|(a, b)| a < b).collect()
    }
}

#[cfg(test)]
mod tests;
