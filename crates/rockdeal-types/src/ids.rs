//! Identifiers. Each kind has its own type, so that the compiler rejects an identifier of another
//! kind.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(text.into())
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }
        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! numeric_id {
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

string_id!(
    /// The id of a job, chosen by the user who submits it.
    JobId
);
string_id!(
    /// The name of a machine, assigned by the cloud.
    MachineId
);
string_id!(
    /// The name of a controller, from its settings file.
    Label
);
string_id!(
    /// The name of a zone: a set of machines that a single loss of power or network may disable
    /// together.
    ZoneId
);
numeric_id!(
    /// A fencing term. Every grant of ownership has a new term, and terms are never reused.
    Term
);
numeric_id!(
    /// The revision at which a key of the state service last changed; 0 if the key does not
    /// exist.
    Revision
);
numeric_id!(
    /// A fencing token. Workers compare tokens to refuse commands of earlier owners and delayed
    /// commands of the current one.
    ///
    /// The high bits hold the term under which the machine is commanded, the low 20 bits the
    /// epoch of the owner within that term.
    FencingToken
);
numeric_id!(
    /// The id of one attempt to run a task.
    AttemptId
);
numeric_id!(
    /// The id of a lease of the state service.
    LeaseId
);
numeric_id!(
    /// The number of a partition: a set of machines and the teams whose work runs on them.
    PartitionId
);

/// A zone and its name as text have the same order, equality and hash, so that a map keyed by
/// zone can be queried with a `&str`.
impl Borrow<str> for ZoneId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Number of low bits of a fencing token that hold the epoch, and of an attempt id that hold the
/// counter. The term is in the bits above them.
const EPOCH_BITS: u32 = 20;

impl FencingToken {
    /// The largest epoch within a term.
    pub const MAX_EPOCH: u64 = (1 << EPOCH_BITS) - 1;

    /// Combines a term and an epoch. An epoch that does not fit in 20 bits is replaced by the
    /// largest one that does.
    ///
    /// An owner raises its epoch to fence its own delayed commands, which needs no request to
    /// another process. A token of a higher term is above every token of a lower one, whatever
    /// the epochs are.
    pub fn of(term: Term, epoch: u64) -> FencingToken {
        FencingToken((term.0 << EPOCH_BITS) | epoch.min(FencingToken::MAX_EPOCH))
    }
}

impl AttemptId {
    /// Combines a term and the owner's counter of attempts under that term.
    ///
    /// The ids rise without a write to the store. They never repeat, because terms never do.
    pub fn of(term: Term, counter: u64) -> AttemptId {
        AttemptId((term.0 << EPOCH_BITS) + counter)
    }

    /// Whether the id was issued under a term.
    pub fn is_of_term(self, term: Term) -> bool {
        self.0 >> EPOCH_BITS == term.0
    }
}

/// Largest number of digits in a job id.
const MAX_JOB_ID_DIGITS: usize = 40;

impl JobId {
    /// Returns whether the id has the required form: `j-` and 1 to 40 ASCII digits.
    pub fn is_well_formed(&self) -> bool {
        self.0.strip_prefix("j-").is_some_and(|digits| {
            (1..=MAX_JOB_ID_DIGITS).contains(&digits.len())
                && digits.bytes().all(|byte| byte.is_ascii_digit())
        })
    }
}

/// The id of one task of a job, written in messages as `job/index`, for example `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job/index`. Returns `None` if there is no `/` or if the index is not a number.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
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
