//! What an owner asks its controller to carry out. The owner itself does no input or output.

use crate::clock::Micros;
use crate::ids::{JobId, MachineId};
use crate::jobs::JobState;
use crate::store::{Compare, Mutation};
use crate::workers::{AttemptKey, DirectCommand};

/// An attempt that has exited, on a worker that keeps it until it is reaped: only once its
/// end is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct UnreapedAttempt {
    /// Where it ran.
    pub machine: MachineId,
    /// Which attempt.
    pub key: AttemptKey,
}

/// Pages of one job's progress.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgressPages {
    /// Whose progress.
    pub job: JobId,
    /// The numbers of the pages.
    pub pages: Vec<u32>,
}

/// A write of this owner, as it comes back with its answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// The ends of jobs.
    Ends {
        /// How each of them ended.
        ends: Vec<(JobId, JobState)>,
        /// Wall-clock time that is recorded as their end.
        at: Micros,
        /// Attempts to be reaped once it is stored.
        reap: Vec<UnreapedAttempt>,
    },
    /// Progress of jobs.
    Progress {
        /// The pages that are written.
        jobs: Vec<ProgressPages>,
        /// Attempts to be reaped once it is stored.
        reap: Vec<UnreapedAttempt>,
    },
    /// Machines that leave the partition: to another partition or back to the cloud.
    ReleaseMachines(Vec<MachineId>),
    /// Machines that are in use from now on.
    UseMachines(Vec<MachineId>),
}

/// What an owner wants carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write to the store: all mutations if all compares hold, or nothing.
    CompareAndSwap(Write, Vec<Compare>, Vec<Mutation>),
    /// Send a direct command to this machine's address.
    SendDirectCommand(MachineId, String, DirectCommand),
    /// Read the record of this ended job: how it ended, and what its tasks took.
    ReadEnded(JobId),
}
