//! What a job's owner knows of the jobs on which the job depends and of those that depend on it.

use super::dependencies::{Inherited, Readiness};
use crate::clock::Micros;
use crate::ids::Revision;

/// Whether a job's dependencies are done, and what the job inherits from the jobs that depend on
/// it.
#[derive(Debug)]
pub(super) struct DependencyState {
    /// Wall-clock time at which the job was accepted.
    accepted_at: Micros,
    /// Wall-clock time from which the job's waiting time is measured.
    eligible_since: Micros,
    /// Whether all dependencies are known to be done.
    all_done: bool,
    /// The store's revision at which the last dependency was done; 0 if it is not known or if
    /// there are no dependencies.
    done_revision: Revision,
    /// Whether a dependency was cancelled.
    has_cancelled: bool,
    /// What the job inherits from the jobs that depend on it; `None` if there are none.
    inherited: Option<Inherited>,
}

impl DependencyState {
    /// Creates the state of a job of whose dependencies nothing is known yet. The job is ready
    /// only if it has no dependencies.
    pub(super) fn new(accepted_at: Micros, has_dependencies: bool) -> DependencyState {
        DependencyState {
            accepted_at,
            eligible_since: accepted_at,
            all_done: !has_dependencies,
            done_revision: Revision(0),
            has_cancelled: false,
            inherited: None,
        }
    }

    /// Records the job's readiness according to the dependency graph. Returns whether the job
    /// became ready, ceased to be ready, or became cancelled.
    pub(super) fn set_readiness(&mut self, readiness: &Readiness) -> bool {
        let before = (self.all_done, self.has_cancelled);
        match readiness {
            Readiness::Ready(done) => {
                self.all_done = true;
                self.done_revision = done.revision;
                let done_at = done.wall_clock.unwrap_or(self.accepted_at);
                self.eligible_since = self.accepted_at.max(done_at);
            }
            Readiness::Waiting(_) => self.all_done = false,
            Readiness::Cancelled => (self.all_done, self.has_cancelled) = (false, true),
        }
        before != (self.all_done, self.has_cancelled)
    }

    /// Records what the job inherits from the jobs that depend on it. Returns whether that
    /// changed.
    pub(super) fn set_inherited(&mut self, inherited: Option<Inherited>) -> bool {
        std::mem::replace(&mut self.inherited, inherited) != inherited
    }

    /// Returns what the job inherits from the jobs that depend on it; `None` if there are none.
    pub(super) fn inherited(&self) -> Option<Inherited> {
        self.inherited
    }

    /// Returns the wall-clock time from which the job's waiting time is measured: when the job was
    /// accepted or when its last dependency was done, whichever is later.
    pub(super) fn eligible_since(&self) -> Micros {
        self.eligible_since
    }

    /// Whether all dependencies are known to be done and none was cancelled.
    pub(super) fn is_ready(&self) -> bool {
        self.all_done && !self.has_cancelled
    }

    /// Whether a dependency was cancelled, which cancels the job, too.
    pub(super) fn has_cancelled(&self) -> bool {
        self.has_cancelled
    }

    /// Returns the store's revision at which the last dependency was done; 0 if it is not known
    /// or if there are no dependencies.
    pub(super) fn done_revision(&self) -> Revision {
        self.done_revision
    }
}
