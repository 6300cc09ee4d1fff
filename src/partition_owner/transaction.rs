//! A transaction of the owner while it is being filled, within the store's limits.

use super::{Effect, Write};
use crate::store::{Compare, MAX_TRANSACTION_BYTES, Mutation};

/// One compare-and-swap that is conditional on the partition's grant.
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

    /// How many mutations an empty transaction takes.
    pub(super) fn max_mutations(&self) -> usize {
        self.max_mutations
    }

    /// How many more mutations it takes.
    pub(super) fn remaining_mutations(&self) -> usize {
        self.max_mutations.saturating_sub(self.mutations.len())
    }

    /// Whether its values are too large for anything to be added.
    pub(super) fn exceeds_bytes(&self) -> bool {
        self.bytes > MAX_TRANSACTION_BYTES
    }

    /// Adds changes whose values take so many bytes.
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

    /// The effect of it.
    pub(super) fn into_effect(self, write: Write) -> Effect {
        Effect::CompareAndSwap(write, self.compares, self.mutations)
    }
}
