//! Checks of a submission: whether it is well formed, and whether the job can run on this cluster.

use super::{JobDesc, JobKind, MAX_TASKS, MalformedJob, UnsatisfiableJob};
use crate::cloud::MachineType;
use crate::ids::JobId;
use crate::settings::Settings;
use std::collections::BTreeSet;

/// Bytes of JSON that are reserved in a job's record for all fields besides its description.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Bytes of JSON that a job id takes in a list besides its characters: two quotes and a comma.
const ID_PUNCTUATION_BYTES: usize = 3;

impl JobDesc {
    /// Parses the JSON body of a submission. Returns an error if a field is missing or invalid;
    /// fields that are not known are ignored.
    pub fn parse(body: &[u8]) -> Result<JobDesc, MalformedJob> {
        let value: serde_json::Value =
            serde_json::from_slice(body).map_err(MalformedJob::NotJson)?;
        if !value.is_object() {
            return Err(MalformedJob::NotAnObject);
        }
        let desc: JobDesc = serde_json::from_value(value).map_err(MalformedJob::InvalidField)?;
        desc.check_fields()?;
        Ok(desc)
    }

    /// Checks the requirements that the types of the fields don't express.
    fn check_fields(&self) -> Result<(), MalformedJob> {
        if !self.id.is_well_formed() {
            return Err(MalformedJob::InvalidId);
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(MalformedJob::TaskCountOutOfRange);
        }
        self.check_amounts()?;
        let names = [
            ("lot", &self.class),
            ("crew", &self.team),
            ("deck", &self.image),
        ];
        match names.iter().find(|(_, name)| name.is_empty()) {
            Some((field, _)) => Err(MalformedJob::EmptyName { field }),
            None => Ok(()),
        }
    }

    fn check_amounts(&self) -> Result<(), MalformedJob> {
        let amounts = [
            ("cores", self.cores),
            ("cards", self.gpus),
            ("memGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("reckonS", self.estimated_run_time_s),
            ("markS", self.checkpoint_interval_s),
            ("stowS", self.checkpoint_duration_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        let is_invalid = |amount: f64| !amount.is_finite() || amount < 0.0;
        if let Some((field, _)) = amounts.iter().find(|(_, amount)| is_invalid(*amount)) {
            return Err(MalformedJob::InvalidAmount { field });
        }
        if self.cores == 0.0 && self.gpus == 0.0 && self.memory_gb == 0.0 {
            return Err(MalformedJob::NoResources);
        }
        Ok(())
    }

    /// Checks that the job's record fits into one value of the key-value store, under the current
    /// limit and under the next one. A job's record is written once and never split.
    pub(crate) fn recordable(&self, settings: &Settings) -> Result<(), UnsatisfiableJob> {
        let max_value_bytes = settings.platform.state.lowest_value_bytes();
        let max_bytes = max_value_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
        let bytes = serde_json::to_string(self).map_or(0, |json| json.len());
        if bytes <= max_bytes {
            return Ok(());
        }
        let id_bytes = |id: &JobId| id.as_str().len() + ID_PUNCTUATION_BYTES;
        let dependency_bytes: usize = self.dependencies.iter().map(id_bytes).sum();
        let other_bytes = bytes - dependency_bytes;
        let named = self.dependencies.len();
        match max_bytes.checked_sub(other_bytes) {
            Some(available_bytes) if named > 0 => Err(UnsatisfiableJob::TooManyDependencies {
                named,
                recordable: available_bytes * named / dependency_bytes,
            }),
            _ => Err(UnsatisfiableJob::DescriptionTooLong),
        }
    }

    /// Checks that the job can run on this cluster: its team exists and has a sufficient limit,
    /// its record can be stored, and its tasks fit on machines of `types`.
    pub fn admissible(
        &self,
        settings: &Settings,
        types: &[MachineType],
    ) -> Result<(), UnsatisfiableJob> {
        self.check_team_limit(settings)?;
        self.recordable(settings)?;
        self.check_machine_types(types)
    }

    /// Checks that the tasks that must run at the same time fit into the team's limit.
    fn check_team_limit(&self, settings: &Settings) -> Result<(), UnsatisfiableJob> {
        let Some(team) = settings.team(&self.team) else {
            return Err(UnsatisfiableJob::UnknownTeam(self.team.clone()));
        };
        let concurrent_tasks = match self.kind {
            JobKind::Array => 1,
            JobKind::Service => self.tasks,
        };
        let request = self.request().scale(f64::from(concurrent_tasks));
        if request.fits_in(&settings.platform.teams[team].limit()) {
            Ok(())
        } else {
            Err(UnsatisfiableJob::ExceedsTeamLimit)
        }
    }

    /// Checks that a task fits on a machine of a type and zone that the job allows, and that there
    /// are enough such zones for anti-affinity.
    fn check_machine_types(&self, types: &[MachineType]) -> Result<(), UnsatisfiableJob> {
        let mut zones: BTreeSet<&str> = BTreeSet::new();
        for machine_type in types {
            if self.request().fits_in(&machine_type.capacity()) {
                let is_allowed = |zone: &&String| self.allows(&machine_type.name, zone, false);
                let allowed = machine_type.zones.iter().filter(is_allowed);
                zones.extend(allowed.map(String::as_str));
            }
        }
        if zones.is_empty() {
            return Err(UnsatisfiableJob::NoFittingMachineType);
        }
        // With anti-affinity at most half of the tasks, rounded up, may be in one zone.
        if self.anti_affinity && self.tasks > 1 && (self.single_zone || zones.len() < 2) {
            return Err(UnsatisfiableJob::AntiAffinityInSingleZone);
        }
        Ok(())
    }
}
