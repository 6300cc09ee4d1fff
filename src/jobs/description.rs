//! What users submit: a job's description. Its fields keep their names on the wire by
//! `serde(rename)`, here and nowhere else.

use super::Footprint;
use crate::fairness::Resources;
use crate::ids::JobId;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A job has no more tasks.
pub const MAX_TASKS: u32 = 100_000;

/// A job's priority; a higher one may preempt a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs in what is left.
    Idle,
    /// The usual one.
    Standard,
    /// Above the usual one.
    High,
    /// Above all others.
    Production,
}

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "sweep")]
    Array,
    /// Runs until it is cancelled (see docs/questions.md).
    Service,
}

/// A job as its user describes it: one field for each of the submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDesc {
    /// The job's id, chosen by its user.
    pub id: JobId,
    /// The class that it belongs to.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose guaranteed quota and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// How many tasks it has.
    #[serde(rename = "hands")]
    pub tasks: u32,
    /// Cores that a task takes.
    pub cores: f64,
    /// Accelerators that a task takes.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that a task takes, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// The image that a task needs.
    #[serde(rename = "deck")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The machine types that it allows; none: any.
    #[serde(default)]
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that it allows; none: any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "oneZone")]
    pub single_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(rename = "apart")]
    pub anti_affinity: bool,
    /// It may use spot machines, which the cloud may reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "reckonS")]
    pub estimated_run_time_s: f64,
    /// A task writes a checkpoint each so many seconds; 0: never.
    #[serde(rename = "markS")]
    pub checkpoint_interval_s: f64,
    /// What a task needs to write a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub checkpoint_duration_s: f64,
    /// The deadline, in seconds from its submission.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each once.
    #[serde(
        rename = "hinges",
        default,
        deserialize_with = "job_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// A list of well-formed job ids, each kept once; null is the empty list.
fn job_ids<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<JobId>, D::Error> {
    let named: Vec<JobId> = Option::deserialize(from)?.unwrap_or_default();
    let mut seen = BTreeSet::new();
    let mut ids = Vec::new();
    for id in named {
        if !id.is_well_formed() {
            return Err(D::Error::custom(format!("{id} is no job id")));
        }
        if seen.insert(id.clone()) {
            ids.push(id);
        }
    }
    Ok(ids)
}

/// A hash of an image's name. Two names that share one only make a machine seem a
/// little better suited than it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageKey(u64);

/// Whether a list of allowed machine types has this one; no list allows any.
pub fn allows_machine_type(allowed: &Option<Vec<String>>, machine_type: &str) -> bool {
    allowed
        .as_ref()
        .is_none_or(|allowed| allowed.iter().any(|name| name == machine_type))
}

impl JobDesc {
    /// What a task requests.
    pub fn request(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.memory_gb)
    }

    /// What is kept of it after its end.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            team: self.team.clone(),
            request: self.request(),
        }
    }

    /// A hash of its image's name.
    pub fn image_key(&self) -> ImageKey {
        let mut hasher = DefaultHasher::new();
        self.image.hash(&mut hasher);
        ImageKey(hasher.finish())
    }

    /// Whether it allows a machine of this type and zone, spot or not.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|allowed| allowed == zone)
            && allows_machine_type(&self.machine_types, machine_type)
    }
}
