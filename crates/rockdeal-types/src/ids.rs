//! Names and numbers that must not be mixed up.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// As text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<String> for $name {
            fn from(s: String) -> Self {
                $name(s.into())
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name(s.into())
            }
        }
        impl From<$name> for String {
            fn from(n: $name) -> String {
                n.0.to_string()
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name!(
    /// A job's id, chosen by its user.
    JobId
);
name!(
    /// A machine's name, given by the cloud.
    MachineId
);
name!(
    /// A controller's name.
    Label
);
name!(
    /// A zone: machines that one loss of power or network may take away together.
    ZoneId
);
number!(
    /// A fencing term: every grant gets a new one, and numbers are never reused.
    Term
);
number!(
    /// The revision at which a key of the state service last changed; 0: no such key.
    Revision
);
number!(
    /// What a worker compares: a machine's term above, the owner's own epoch below.
    FencingToken
);
number!(
    /// An attempt to run a task.
    AttemptId
);
number!(
    /// A lease of the state service.
    LeaseId
);
number!(
    /// A partition: machines and the teams whose work runs on them.
    PartitionId
);

/// Alike in order and in equality, so that maps by zone can be asked with plain text.
impl Borrow<str> for ZoneId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// How many epochs an owner has below each term.
const EPOCH_BITS: u32 = 20;

impl FencingToken {
    /// Epochs let an owner fence its own delayed commands without asking anyone:
    /// its term stays above every older one whatever the epoch.
    pub fn of(term: Term, epoch: u64) -> FencingToken {
        FencingToken((term.0 << EPOCH_BITS) | epoch.min((1 << EPOCH_BITS) - 1))
    }
}

impl AttemptId {
    /// Rises without a write to the store and never repeats: terms never do.
    pub fn of(term: Term, counter: u64) -> AttemptId {
        AttemptId((term.0 << EPOCH_BITS) + counter)
    }
}

/// Digits that a job's id has at most.
const MAX_JOB_DIGITS: usize = 40;

impl JobId {
    /// `j-` and digits, as users choose them.
    pub fn is_well_formed(&self) -> bool {
        self.0.strip_prefix("j-").is_some_and(|digits| {
            (1..=MAX_JOB_DIGITS).contains(&digits.len())
                && digits.bytes().all(|byte| byte.is_ascii_digit())
        })
    }
}

/// One task of a job, in the wire's form `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which of its tasks, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads `job/index`.
    pub fn parse(s: &str) -> Option<TaskId> {
        let (job, index) = s.rsplit_once('/')?;
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
