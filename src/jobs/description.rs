//! The description of a job, as users submit it. The names that its fields have on the wire are
//! defined here by `serde(rename)`.

use super::Footprint;
use crate::fairness::Resources;
use crate::ids::JobId;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// A job's priority. A job may preempt jobs of lower priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The lowest priority, for work that uses leftover capacity.
    Idle,
    /// The normal priority.
    Standard,
    /// A priority above the normal one.
    High,
    /// The highest priority.
    Production,
}

/// The kind of a job, which says how its tasks relate to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// An array of independent tasks.
    #[serde(rename = "sweep")]
    Array,
    /// A service: its tasks run at the same time, until it is cancelled (see docs/questions.md).
    Service,
}

/// A job as its user describes it, with one field for each field of the submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDesc {
    /// The job's id, chosen by its user.
    pub id: JobId,
    /// The class of the job, which may have a start-latency objective in the settings.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose guaranteed quota and limit apply to the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// The kind of the job.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// The job's priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks of the job.
    #[serde(rename = "hands")]
    pub tasks: u32,
    /// Cores that each task requests.
    pub cores: f64,
    /// Accelerators that each task requests.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that each task requests, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Name of the image that each task needs.
    #[serde(rename = "deck")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The machine types on which the job may run; `None` allows any.
    #[serde(default)]
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone in which the job may run; `None` allows any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "oneZone")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub anti_affinity: bool,
    /// Whether the job may use spot machines, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "reckonS")]
    pub estimated_run_time_s: f64,
    /// Interval at which a task writes checkpoints, in seconds; 0 if it writes none.
    #[serde(rename = "markS")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to write a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub checkpoint_duration_s: f64,
    /// The deadline, in seconds from the submission; `None` if there is no deadline.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this job starts, without duplicates.
    #[serde(
        rename = "hinges",
        default,
        deserialize_with = "job_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// Parses a list of job ids and removes duplicates; null stands for the empty list. Returns an
/// error if an id is not well formed.
fn job_ids<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<JobId>, D::Error> {
    let named: Vec<JobId> = Option::deserialize(from)?.unwrap_or_default();
    let mut seen = BTreeSet::new();
    let mut ids = Vec::new();
    for id in named {
        if !id.is_well_formed() {
            return Err(D::Error::custom(format!("{id} is not a job id")));
        }
        if seen.insert(id.clone()) {
            ids.push(id);
        }
    }
    Ok(ids)
}

/// A hash of an image's name. A collision of two names is harmless: it only makes a machine seem
/// to have an image and thus be better suited for a task than it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageKey(u64);

/// Whether a list of allowed machine types contains this one; `None` allows any.
pub fn allows_machine_type(allowed: &Option<Vec<String>>, machine_type: &str) -> bool {
    allowed
        .as_ref()
        .is_none_or(|allowed| allowed.iter().any(|name| name == machine_type))
}

impl JobDesc {
    /// Returns the resources that each task requests.
    pub fn request(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.memory_gb)
    }

    /// Returns the part of the description that is kept after the job's end.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            team: self.team.clone(),
            request: self.request(),
        }
    }

    /// Returns the hash of the image's name.
    pub fn image_key(&self) -> ImageKey {
        let mut hasher = DefaultHasher::new();
        self.image.hash(&mut hasher);
        ImageKey(hasher.finish())
    }

    /// Whether the job may run on a machine of this type and zone. `spot` says whether the machine
    /// is a spot machine.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|allowed| allowed == zone)
            && allows_machine_type(&self.machine_types, machine_type)
    }
}
