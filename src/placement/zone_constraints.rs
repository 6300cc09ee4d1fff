//! Zone constraints of jobs: a single-zone job runs all of its tasks in one zone, and a job
//! with anti-affinity at most half of them, rounded up, in any one zone.

use crate::ids::MachineId;
use crate::jobs::{Job, JobDesc};
use crate::workers::{AttemptPhase, Machine};
use std::collections::BTreeMap;

/// Number of attempts of a job that are, or may still be, on machines of each zone.
pub(super) type TasksByZone<'a> = BTreeMap<&'a str, u32>;

/// Counts a job's attempts by zone. The result is empty for a job without a zone constraint.
pub(super) fn tasks_by_zone<'a>(
    job: &Job,
    machines: &'a BTreeMap<MachineId, Machine>,
) -> TasksByZone<'a> {
    let mut by_zone = BTreeMap::new();
    if !job.desc.single_zone && !job.desc.anti_affinity {
        return by_zone;
    }
    for machine in machines.values() {
        // Counts attempts, not the job's active tasks: an attempt that is being stopped is still
        // in its zone.
        let attempts = machine.attempts.iter().filter(|(key, attempt)| {
            key.task.job == job.desc.id && attempt.phase != AttemptPhase::Exited
        });
        let count = attempts.count() as u32;
        if count > 0 {
            *by_zone.entry(machine.spec.zone.as_str()).or_default() += count;
        }
    }
    by_zone
}

/// Whether the job's zone constraint allows one more task in a zone.
pub(super) fn is_zone_allowed(desc: &JobDesc, by_zone: &TasksByZone<'_>, zone: &str) -> bool {
    let is_elsewhere = |(other, count): (&&str, &u32)| **other != *zone && *count > 0;
    if desc.single_zone && by_zone.iter().any(is_elsewhere) {
        return false;
    }
    let in_zone = by_zone.get(zone).copied().unwrap_or(0);
    !desc.anti_affinity || in_zone < desc.tasks.div_ceil(2)
}
