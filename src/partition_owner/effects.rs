//! Effects: the store writes, reads and direct commands that an owner requests from its
//! controller. The owner itself does no input or output.

use crate::clock::Micros;
use crate::ids::{JobId, MachineId};
use crate::jobs::JobState;
use crate::store::{Compare, Mutation};
use crate::workers::{AttemptKey, DirectCommand};

/// An attempt that has exited but has not been reaped. The worker keeps the attempt until the
/// owner commands it to reap, which happens only after the attempt's end is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct UnreapedAttempt {
    /// Machine on which the attempt ran.
    pub machine: MachineId,
    /// Task and attempt.
    pub key: AttemptKey,
}

/// Progress pages of one job that a write contains.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgressPages {
    /// Job whose progress is written.
    pub job: JobId,
    /// Numbers of the pages.
    pub pages: Vec<u32>,
}

/// Content of a write to the store. The controller returns it to the owner together with the
/// store's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Records that jobs have ended.
    Ends {
        /// Jobs with their terminal states.
        ends: Vec<(JobId, JobState)>,
        /// Wall-clock time that is recorded as the jobs' end.
        at: Micros,
        /// Attempts to be reaped after the write is committed.
        reap: Vec<UnreapedAttempt>,
    },
    /// Records the progress of jobs.
    Progress {
        /// Pages that are written, by job.
        jobs: Vec<ProgressPages>,
        /// Attempts to be reaped after the write is committed.
        reap: Vec<UnreapedAttempt>,
    },
    /// Releases machines from the partition, to another partition or to the cloud.
    ReleaseMachines(Vec<MachineId>),
    /// Records machines as used.
    UseMachines(Vec<MachineId>),
}

/// An action that an owner requests from its controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Writes to the store: applies all mutations if all compares hold, otherwise none.
    CompareAndSwap(Write, Vec<Compare>, Vec<Mutation>),
    /// Sends a direct command to a machine. The string is the address of the machine's worker.
    SendDirectCommand(MachineId, String, DirectCommand),
    /// Reads the record of an ended job, which contains the resources that its tasks requested.
    ReadEnded(JobId),
}
