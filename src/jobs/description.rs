//! What users ask for: a job's description, and why one is refused.

use super::Footprint;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::ids::JobId;
use crate::settings::Settings;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What stands beside a description in its record.
const RECORD_BYTES: usize = 256;
/// What a job's id takes in a list besides its characters.
const ID_BYTES: usize = 3;
/// A job has no more tasks.
pub const MOST_TASKS: u32 = 100_000;

/// A job's priority; a higher one may stop a lower one.
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

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDesc {
    /// The job's id, chosen by its user.
    pub id: JobId,
    /// The class that it belongs to.
    #[serde(rename = "lot")]
    pub class: String,
    /// Whose guarantee and limit apply.
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
    /// It may take machines that the cloud may take back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "reckonS")]
    pub estimated_run_time_s: f64,
    /// A task saves each so many seconds; 0: never.
    #[serde(rename = "markS")]
    pub checkpoint_interval_s: f64,
    /// What a task needs to save when it is stopped, in seconds.
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

/// An image's name in short. Two names that share one only make a machine look a
/// little better than it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageKey(u64);

/// Why a submission is refused for good.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// It can't be read, or a field is missing or invalid.
    Malformed(String),
    /// It can never run here.
    NeverRuns(String),
}

/// No list of types allows any.
pub fn allows_build(machine_types: &Option<Vec<String>>, machine_type: &str) -> bool {
    machine_types
        .as_ref()
        .is_none_or(|b| b.iter().any(|b| b == machine_type))
}

impl JobDesc {
    /// What a task takes.
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

    /// Its image's name in short.
    pub fn image_key(&self) -> ImageKey {
        let mut hasher = DefaultHasher::new();
        self.image.hash(&mut hasher);
        ImageKey(hasher.finish())
    }

    /// Whether a machine of this type, zone and kind is one the job allows.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && allows_build(&self.machine_types, machine_type)
    }

    /// Reads a submission; whatever is missing or invalid makes it malformed.
    pub fn parse(body: &[u8]) -> Result<JobDesc, Refusal> {
        let bad = |why: String| Err(Refusal::Malformed(why));
        let value: serde_json::Value = match serde_json::from_slice(body) {
            Ok(v) => v,
            Err(e) => return bad(format!("not JSON: {e}")),
        };
        if !value.is_object() {
            return bad("not an object".into());
        }
        let job: JobDesc = match serde_json::from_value(value) {
            Ok(j) => j,
            Err(e) => return bad(e.to_string()),
        };
        if !job.id.is_well_formed() {
            return bad("id must be j- and digits".into());
        }
        if job.tasks == 0 || job.tasks > MOST_TASKS {
            return bad(format!("hands must be from 1 to {MOST_TASKS}"));
        }
        let amounts = [
            ("cores", job.cores),
            ("cards", job.gpus),
            ("memGb", job.memory_gb),
            ("sizeGb", job.image_gb),
            ("reckonS", job.estimated_run_time_s),
            ("markS", job.checkpoint_interval_s),
            ("stowS", job.checkpoint_duration_s),
            ("dueS", job.deadline_s.unwrap_or(0.0)),
        ];
        if let Some((name, _)) = amounts.iter().find(|(_, a)| !a.is_finite() || *a < 0.0) {
            return bad(format!("{name} must be finite and not negative"));
        }
        if job.cores == 0.0 && job.gpus == 0.0 && job.memory_gb == 0.0 {
            return bad("a task must take something of its machine".into());
        }
        let names = [
            ("lot", &job.class),
            ("crew", &job.team),
            ("deck", &job.image),
        ];
        if let Some((name, _)) = names.iter().find(|(_, n)| n.is_empty()) {
            return bad(format!("{name} is empty"));
        }
        Ok(job)
    }

    /// Whether its record fits into one value, with what stands beside it, now and under
    /// the coming limits: a record is written once and never split.
    pub(crate) fn recordable(&self, settings: &Settings) -> Result<(), Refusal> {
        let most = settings.platform.state.lowest_value_bytes();
        let most = most.saturating_sub(RECORD_BYTES);
        let length = serde_json::to_string(self).map_or(0, |s| s.len());
        if length <= most {
            return Ok(());
        }
        let per_id = |id: &JobId| id.as_str().len() + ID_BYTES;
        let named: usize = self.dependencies.iter().map(per_id).sum();
        let rest = length - named;
        let Some(room) = most.checked_sub(rest).filter(|_| named > 0) else {
            let why = "its description is too long to be recorded";
            return Err(Refusal::NeverRuns(why.into()));
        };
        let fitting = room * self.dependencies.len() / named;
        Err(Refusal::NeverRuns(format!(
            "it names {} jobs before it, and about {fitting} can be recorded",
            self.dependencies.len()
        )))
    }

    /// Whether it can ever run here.
    pub fn admissible(&self, settings: &Settings, types: &[MachineType]) -> Result<(), Refusal> {
        let never = |why: String| Err(Refusal::NeverRuns(why));
        let Some(team) = settings.team(&self.team) else {
            return never(format!("unknown team {}", self.team));
        };
        let together = if self.kind == JobKind::Array {
            1
        } else {
            self.tasks
        };
        let least = self.request().scale(f64::from(together));
        if !least.fits_in(&settings.platform.teams[team].limit()) {
            return never("one task is over its team's limit".into());
        }
        self.recordable(settings)?;
        let fitting = types
            .iter()
            .filter(|t| self.request().fits_in(&t.capacity()));
        let zones: BTreeSet<&str> = fitting
            .flat_map(|t| t.zones.iter().filter(|z| self.allows(&t.name, z, false)))
            .map(String::as_str)
            .collect();
        if zones.is_empty() {
            return never("a task fits no allowed machine type".into());
        }
        // At most half of the tasks, rounded up, may be in one zone.
        if self.anti_affinity && self.tasks > 1 && (self.single_zone || zones.len() < 2) {
            return never("its tasks must be apart, but only one zone is allowed".into());
        }
        Ok(())
    }
}
