//! The evacuation of lost zones: the order of displaced work among all that waits, and the
//! waves in which it may ask for machines elsewhere.

use crate::record::ZoneRecord;
use crate::settings::WaveSettings;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{JobId, MachineId, ZoneId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// The place of a displaced job among the others, by the operators' expression.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EvacuationPriority {
    /// Its wave has come: it goes before those whose has not, so that what was scaled out for a
    /// wave is not taken by the next one.
    pub admitted: bool,
    /// What the expression gives: higher goes first.
    pub value: f64,
    /// A service goes before other work of the same priority.
    pub service: bool,
    /// One task or several: arrays come after single tasks of the same priority.
    pub array: bool,
    /// Time of day at which it was accepted: the oldest first.
    pub accepted: Micros,
}

impl EvacuationPriority {
    /// `Less`: goes first.
    pub fn order(&self, other: &EvacuationPriority) -> Ordering {
        other
            .admitted
            .cmp(&self.admitted)
            .then(other.value.total_cmp(&self.value))
            .then(other.service.cmp(&self.service))
            .then(self.array.cmp(&other.array))
            .then(self.accepted.cmp(&other.accepted))
    }
}

/// A waiting job in the order of its team.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting<T> {
    /// The job.
    pub job: T,
    /// Its priority if it was displaced.
    pub displaced: Option<EvacuationPriority>,
}

/// A displaced job with its place among all that wait: the first is the most urgent.
struct DisplacedEntry<T> {
    urgency: usize,
    priority: EvacuationPriority,
    job: T,
}

/// Puts the displaced jobs of a team's order, most urgent first, into their stated order.
///
/// - Jobs that are not displaced keep their order.
/// - Displaced jobs are among each other in the order of their priorities; where those are
///   alike, in the order in which they came.
/// - No job that is not displaced comes after a displaced one that is less urgent, so
///   urgent work never waits behind evacuated lower work.
/// - Beyond that, displaced jobs come as early as they can.
pub fn merge_displaced<T>(ordered: Vec<Waiting<T>>) -> Vec<T> {
    if ordered.iter().all(|waiting| waiting.displaced.is_none()) {
        return ordered.into_iter().map(|waiting| waiting.job).collect();
    }
    let mut displaced: Vec<DisplacedEntry<T>> = Vec::new();
    let mut others: Vec<(usize, T)> = Vec::new();
    for (urgency, waiting) in ordered.into_iter().enumerate() {
        match waiting.displaced {
            Some(priority) => displaced.push(DisplacedEntry {
                urgency,
                priority,
                job: waiting.job,
            }),
            None => others.push((urgency, waiting.job)),
        }
    }
    displaced.sort_by(|left, right| {
        let by_priority = left.priority.order(&right.priority);
        by_priority.then(left.urgency.cmp(&right.urgency))
    });
    let mut merged = Vec::with_capacity(displaced.len() + others.len());
    let mut others = others.into_iter().peekable();
    for DisplacedEntry { urgency, job, .. } in displaced {
        while let Some((_, more_urgent)) = others.next_if(|(other, _)| *other < urgency) {
            merged.push(more_urgent);
        }
        merged.push(job);
    }
    merged.extend(others.map(|(_, job)| job));
    merged
}

/// A silent machine of a lost zone that may be released.
#[derive(Debug, Clone, PartialEq)]
pub struct SilentMachine {
    /// The machine.
    pub id: MachineId,
    /// The highest priority among the jobs that may run on it; none: it has no work.
    pub priority: Option<EvacuationPriority>,
}

/// A displaced job that asks for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct DisplacedJob {
    /// The job.
    pub id: JobId,
    /// Its place.
    pub priority: EvacuationPriority,
    /// Tasks of it that wait.
    pub tasks: u32,
}

/// The evacuation of one loss of a zone, in one partition.
#[derive(Debug, Default)]
struct Evacuation {
    epoch: u64,
    /// The newest wave that was seen.
    wave: u64,
    /// Machines that may still be released.
    machines: usize,
    /// Displaced tasks that may still ask for machines.
    tasks: u32,
    released: BTreeSet<MachineId>,
    admitted: BTreeSet<JobId>,
}

/// The waves of a partition's owner.
///
/// Each wave that the leader commits allows so many machines to be released and so many
/// displaced tasks to ask for machines. An owner that has just failed over to the partition allows
/// itself one wave, whatever number it finds: what was placed before does not wait any more,
/// so it goes on where the one before stopped.
#[derive(Debug, Default)]
pub struct Waves {
    settings: WaveSettings,
    evacuations: BTreeMap<ZoneId, Evacuation>,
}

impl Waves {
    /// No zone is lost.
    pub fn new(settings: WaveSettings) -> Self {
        Waves {
            settings,
            evacuations: BTreeMap::new(),
        }
    }

    /// Takes in which zones are lost now.
    pub fn sync(&mut self, lost: &BTreeMap<ZoneId, ZoneRecord>) {
        self.evacuations.retain(|id, evacuation| {
            // What belongs to an earlier loss is over.
            lost.get(id)
                .is_some_and(|zone| zone.epoch == evacuation.epoch)
        });
        for (id, zone) in lost {
            let new = Evacuation {
                epoch: zone.epoch,
                ..Evacuation::default()
            };
            let evacuation = self.evacuations.entry(id.clone()).or_insert(new);
            if zone.wave > evacuation.wave {
                evacuation.wave = zone.wave;
                evacuation.machines = self.settings.machines;
                evacuation.tasks = self.settings.tasks;
            }
        }
    }

    /// Which silent machines of a lost zone may be released now: those of earlier waves
    /// that are still there, and the most important ones up to this wave's number.
    pub fn release(&mut self, zone: &ZoneId, mut silent: Vec<SilentMachine>) -> Vec<MachineId> {
        let Some(evacuation) = self.evacuations.get_mut(zone) else {
            return Vec::new();
        };
        silent.sort_by(|left, right| match (&left.priority, &right.priority) {
            (Some(left), Some(right)) => left.order(right),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => Ordering::Equal,
        });
        let mut allowed = Vec::new();
        for machine in silent {
            let known = evacuation.released.contains(&machine.id);
            if !known && evacuation.machines > 0 {
                evacuation.machines -= 1;
                evacuation.released.insert(machine.id.clone());
            } else if !known {
                continue;
            }
            allowed.push(machine.id);
        }
        allowed
    }

    /// Admits displaced jobs in their order, up to this wave's number of tasks. The last one
    /// may go beyond it: a job is admitted whole.
    pub fn admit(&mut self, zone: &ZoneId, mut jobs: Vec<DisplacedJob>) {
        let Some(evacuation) = self.evacuations.get_mut(zone) else {
            return;
        };
        jobs.retain(|job| !evacuation.admitted.contains(&job.id));
        jobs.sort_by(|left, right| left.priority.order(&right.priority));
        for job in jobs {
            if evacuation.tasks == 0 {
                return;
            }
            evacuation.tasks = evacuation.tasks.saturating_sub(job.tasks);
            evacuation.admitted.insert(job.id);
        }
    }

    /// Whether a displaced job of that zone may ask for machines: it is admitted, or the
    /// evacuation has ended.
    pub fn is_admitted(&self, zone: &ZoneId, job: &JobId) -> bool {
        self.evacuations
            .get(zone)
            .is_none_or(|evacuation| evacuation.admitted.contains(job))
    }

    /// Whether that zone is being evacuated.
    pub fn is_evacuating(&self, zone: &ZoneId) -> bool {
        self.evacuations.contains_key(zone)
    }

    /// Whether a silent machine of a zone waits for a further wave.
    pub fn is_held_back(&self, zone: &ZoneId, machine: &MachineId) -> bool {
        let evacuation = self.evacuations.get(zone);
        evacuation.is_some_and(|evacuation| !evacuation.released.contains(machine))
    }
}
