//! The release of a machine from its partition.
//!
//! A machine is used only while it is active. A release whose result is unknown stays
//! indeterminate until a later write commits or the machine's shard changes.

use crate::ids::Revision;

/// The state of a machine's release from its partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReleaseState {
    /// No release of the machine is in progress.
    #[default]
    Active,
    /// The write that releases the machine is in flight.
    Requested {
        /// The revision of the machine's shard on which the write depends.
        revision: Revision,
    },
    /// The result of the write is unknown. Until the shard has changed, the write may have been
    /// carried out or may still be carried out.
    Indeterminate {
        /// The revision of the machine's shard on which the write depends.
        revision: Revision,
    },
    /// The machine is released.
    Released,
}

/// The result of a write that releases machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The write was carried out.
    Committed,
    /// The write was not carried out and never will be.
    Rejected,
    /// The write may have been carried out, or may still be carried out.
    Indeterminate,
}

impl ReleaseState {
    /// Whether the machine is in the partition and its release is not in progress.
    pub fn is_active(self) -> bool {
        self == ReleaseState::Active
    }

    /// Whether the result of the write that releases the machine is unknown.
    pub fn is_indeterminate(self) -> bool {
        matches!(self, ReleaseState::Indeterminate { .. })
    }

    /// Records that a write which releases the machine is sent. The write depends on this revision
    /// of the shard. If the result of an earlier write is unknown, the state stays indeterminate.
    pub(super) fn request(&mut self, revision: Revision) {
        *self = match self {
            ReleaseState::Active | ReleaseState::Requested { .. } => {
                ReleaseState::Requested { revision }
            }
            ReleaseState::Indeterminate { .. } => ReleaseState::Indeterminate { revision },
            ReleaseState::Released => ReleaseState::Released,
        };
    }

    /// Records the result of the write that releases the machine. A rejection does not end an
    /// indeterminate state, because an earlier write may still have been carried out.
    pub(super) fn record_outcome(&mut self, outcome: ReleaseOutcome) {
        *self = match (*self, outcome) {
            // The shard has changed since the write was sent, so the write has failed.
            // Guards against releasing a machine that is in use again: the result of the
            // write, or the lack of one, may be reported after the change.
            (ReleaseState::Active, _) => ReleaseState::Active,
            (
                ReleaseState::Requested { .. } | ReleaseState::Indeterminate { .. },
                ReleaseOutcome::Committed,
            ) => ReleaseState::Released,
            (ReleaseState::Requested { .. }, ReleaseOutcome::Rejected) => ReleaseState::Active,
            (ReleaseState::Requested { revision }, ReleaseOutcome::Indeterminate) => {
                ReleaseState::Indeterminate { revision }
            }
            (unchanged @ ReleaseState::Indeterminate { .. }, _) => unchanged,
            (ReleaseState::Released, _) => ReleaseState::Released,
        };
    }

    /// Records the current revision of the machine's shard. A write that depends on an earlier
    /// revision can no longer be carried out, so an indeterminate release is cancelled.
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
