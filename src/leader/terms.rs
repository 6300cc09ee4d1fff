//! Allocation of fencing terms.
//!
//! This module computes the next terms from the term record. A term must never be allocated
//! twice, so every allocation compares the record's revision.

use crate::ids::Term;
use crate::partitions::TermRecord;
use crate::store::{Compare, Mutation, Versioned, keys};
use crate::watch_cache::WatchCache;

/// A range of new terms, with the compare and the mutation that allocate it.
#[derive(Debug, Clone, PartialEq)]
pub struct TermAllocation {
    /// First term of the range. The other terms follow it consecutively.
    pub first: Term,
    /// Compare that holds only if no term has been allocated since the record was read.
    pub compare: Compare,
    /// Mutation that records the last term of the range as allocated.
    pub mutation: Mutation,
}

/// Returns an allocation of the next `count` terms. The terms are allocated only if its compare
/// and its mutation are committed.
pub fn allocate_terms(cache: &WatchCache, count: u64) -> TermAllocation {
    let Versioned { revision, record } = cache.term;
    let allocated = TermRecord {
        last: Term(record.last.0 + count),
    };
    TermAllocation {
        first: Term(record.last.0 + 1),
        compare: Compare::new(keys::TERM.into(), revision),
        mutation: Mutation::put(keys::TERM.into(), &allocated),
    }
}
