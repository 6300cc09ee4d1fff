//! Builder for the owner's compare-and-swap transactions. It keeps track of the store's limits
//! on the number of mutations and on the size of a transaction.

use super::{Effect, Write};
use crate::store::{Compare, MAX_TRANSACTION_BYTES, Mutation};

/// A compare-and-swap that is conditional on the partition's grant.
pub(super) struct Transaction {
    compares: Vec<Compare>,
    mutations: Vec<Mutation>,
    bytes: usize,
    max_mutations: usize,
}

impl Transaction {
    pub(super) fn new(ownership: Compare, max_mutations: usize) -> Self {
        Transaction {
            compares: vec![ownership],
            mutations: Vec::new(),
            bytes: 0,
            max_mutations,
        }
    }

    /// Returns the largest number of mutations in a transaction.
    pub(super) fn max_mutations(&self) -> usize {
        self.max_mutations
    }

    /// Returns how many more mutations can be appended.
    pub(super) fn remaining_mutations(&self) -> usize {
        self.max_mutations.saturating_sub(self.mutations.len())
    }

    /// Returns whether the values exceed the size limit. Nothing more may be appended then.
    pub(super) fn exceeds_bytes(&self) -> bool {
        self.bytes > MAX_TRANSACTION_BYTES
    }

    /// Adds compares and mutations. `bytes` is the size of the mutations' values.
    pub(super) fn append(
        &mut self,
        compares: Vec<Compare>,
        mutations: Vec<Mutation>,
        bytes: usize,
    ) {
        self.compares.extend(compares);
        self.mutations.extend(mutations);
        self.bytes += bytes;
    }

    /// Returns the effect that sends this transaction to the store.
    pub(super) fn into_effect(self, write: Write) -> Effect {
        Effect::CompareAndSwap(write, self.compares, self.mutations)
    }
}
