//! The grant under which this controller owns a partition. A grant is immutable: each new grant
//! creates a new [`super::OwnedPartition`].

use crate::clock::Micros;
use crate::ids::{PartitionId, Revision, Term};
use crate::partitions::PartitionOwnerRecord;
use crate::settings::Settings;
use crate::store::{Compare, Mutation, keys};

/// A partition's grant to this controller.
pub(super) struct Ownership {
    partition: PartitionId,
    term: Term,
    /// Revision of the partition's owner record. Each write of this owner is conditional on it.
    revision: Revision,
    /// Indexes of the partition's teams in the settings.
    teams: Vec<usize>,
    granted_at: Micros,
}

impl Ownership {
    pub(super) fn new(
        partition: PartitionId,
        record: &PartitionOwnerRecord,
        revision: Revision,
        settings: &Settings,
        granted_at: Micros,
    ) -> Self {
        let teams = record.teams.iter();
        Ownership {
            partition,
            term: record.term,
            revision,
            teams: teams.filter_map(|name| settings.team(name)).collect(),
            granted_at,
        }
    }

    pub(super) fn partition(&self) -> PartitionId {
        self.partition
    }

    pub(super) fn term(&self) -> Term {
        self.term
    }

    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn teams(&self) -> &[usize] {
        &self.teams
    }

    pub(super) fn granted_at(&self) -> Micros {
        self.granted_at
    }

    /// Returns the condition of every write of this owner: the owner record is unchanged.
    pub(super) fn compare(&self) -> Compare {
        Compare::new(keys::partition_owner(self.partition), self.revision)
    }

    /// Returns the mutation that leaves the partition without an owner, under the same term.
    pub(super) fn release(&self, settings: &Settings) -> Mutation {
        let teams = self.teams.iter();
        let record = PartitionOwnerRecord {
            owner: settings.label.clone(),
            incarnation: Revision(0),
            term: self.term,
            teams: teams
                .map(|team| settings.platform.teams[*team].name.clone())
                .collect(),
        };
        Mutation::put(keys::partition_owner(self.partition), &record)
    }
}
