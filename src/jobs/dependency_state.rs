//! What a job's owner knows of the jobs before and behind it.

use super::dependencies::{Inherited, Readiness};
use crate::clock::Micros;
use crate::ids::Revision;

/// Whether a job's dependencies are done, and what it inherits from the jobs that depend
/// on it.
#[derive(Debug)]
pub(super) struct DependencyState {
    accepted_at: Micros,
    eligible_since: Micros,
    all_done: bool,
    /// The store's revision at which the last dependency was done.
    done_revision: Revision,
    has_cancelled: bool,
    inherited: Option<Inherited>,
}

impl DependencyState {
    /// Nothing is known yet: only a job without dependencies is ready.
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

    /// Records what the dependency graph says, and returns whether that changed anything.
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

    /// Records what the job inherits, and returns whether that changed.
    pub(super) fn set_inherited(&mut self, inherited: Option<Inherited>) -> bool {
        std::mem::replace(&mut self.inherited, inherited) != inherited
    }

    /// What the job inherits from the jobs that depend on it.
    pub(super) fn inherited(&self) -> Option<Inherited> {
        self.inherited
    }

    /// Wall-clock time from which its waiting counts: when it was accepted, or when its last
    /// dependency was done.
    pub(super) fn eligible_since(&self) -> Micros {
        self.eligible_since
    }

    /// Whether all dependencies are known to be done.
    pub(super) fn is_ready(&self) -> bool {
        self.all_done && !self.has_cancelled
    }

    /// Whether a dependency was cancelled, and the job with it.
    pub(super) fn has_cancelled(&self) -> bool {
        self.has_cancelled
    }

    /// The store's revision at which the last dependency was done; 0: none had to be.
    pub(super) fn done_revision(&self) -> Revision {
        self.done_revision
    }
}
