//! How far the release of a machine has got.

use crate::ids::Revision;

/// How far the release of a machine has got. It is used only while it is active.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReleaseState {
    /// The partition keeps it.
    #[default]
    Active,
    /// The write that releases it is in flight.
    Requested {
        /// The revision of its shard on which the write depends.
        revision: Revision,
    },
    /// The write's result is unknown: it may have been, or may still be, carried out, until
    /// the shard has changed.
    Indeterminate {
        /// The revision of its shard on which the write depends.
        revision: Revision,
    },
    /// It is released.
    Released,
}

/// The result of the write that releases machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The write was carried out.
    Committed,
    /// The write was not carried out and never will be.
    Rejected,
    /// The write may have been, or may still be, carried out.
    Indeterminate,
}

impl ReleaseState {
    /// Whether the partition keeps the machine.
    pub fn is_active(self) -> bool {
        self == ReleaseState::Active
    }

    /// Whether the result of the write that releases it is unknown.
    pub fn is_indeterminate(self) -> bool {
        matches!(self, ReleaseState::Indeterminate { .. })
    }

    /// A write that releases the machine is sent; it depends on this revision of the shard.
    /// What an earlier write left unknown stays so.
    pub(super) fn request(&mut self, revision: Revision) {
        *self = match self {
            ReleaseState::Active | ReleaseState::Requested { .. } => {
                ReleaseState::Requested { revision }
            }
            ReleaseState::Indeterminate { .. } => ReleaseState::Indeterminate { revision },
            ReleaseState::Released => ReleaseState::Released,
        };
    }

    /// The write that releases the machine has this result. What an earlier write left
    /// unknown, a later rejection can't settle.
    pub(super) fn record_outcome(&mut self, outcome: ReleaseOutcome) {
        *self = match (*self, outcome) {
            // Its shard has changed since the write was sent, which has failed by itself.
            // Guards against releasing a machine that is in use again: the write's result,
            // or that there is none, may arrive later than the change.
            (ReleaseState::Active, _) => ReleaseState::Active,
            (
                ReleaseState::Requested { .. } | ReleaseState::Indeterminate { .. },
                ReleaseOutcome::Committed,
            ) => ReleaseState::Released,
            (ReleaseState::Requested { .. }, ReleaseOutcome::Rejected) => ReleaseState::Active,
            (ReleaseState::Requested { revision }, ReleaseOutcome::Indeterminate) => {
                ReleaseState::Indeterminate { revision }
            }
            (unsettled @ ReleaseState::Indeterminate { .. }, _) => unsettled,
            (ReleaseState::Released, _) => ReleaseState::Released,
        };
    }

    /// The machine's shard is at this revision: a write that depends on an earlier one fails
    /// by itself.
    pub(super) fn record_shard_revision(&mut self, current: Revision) {
        if let ReleaseState::Indeterminate { revision } = *self
            && current > revision
        {
            *self = ReleaseState::Active;
        }
    }
}

#[cfg(test)]
mod tests;
