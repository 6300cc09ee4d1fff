//! Allocation of fencing terms.
//!
//! Owns how the next terms are taken from the term's record. A term must never be allocated
//! twice: every allocation compares the record's revision.

use crate::ids::Term;
use crate::partitions::TermRecord;
use crate::store::{Compare, Mutation, Versioned, keys};
use crate::watch_cache::WatchCache;

/// The next terms, and the compare-and-swap under which they are allocated.
#[derive(Debug, Clone, PartialEq)]
pub struct TermAllocation {
    /// The first of the allocated terms; the others follow it.
    pub first: Term,
    /// Nobody has allocated a term since.
    pub compare: Compare,
    /// Records the last of the allocated terms.
    pub mutation: Mutation,
}

/// Allocates the next `count` terms.
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
