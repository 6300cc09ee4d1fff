//! The evacuation of lost zones: the order of displaced jobs among all waiting jobs, and the waves
//! in which displaced jobs may request machines in other zones.

use crate::record::ZoneRecord;
use crate::settings::WaveSettings;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{JobId, MachineId, ZoneId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// The priority of a displaced job, by which displaced jobs are ordered among each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EvacuationPriority {
    /// Whether a wave has admitted the job. Admitted jobs go before the others, so that the
    /// machines scaled out for one wave are not taken by jobs of the next.
    pub admitted: bool,
    /// The value of the operators' expression `evacuation-priority`. Higher values go first.
    pub value: f64,
    /// Whether the job is a service. Services go before other jobs of the same value.
    pub service: bool,
    /// Whether the job has several tasks. Such arrays go after jobs of a single task that are equal
    /// otherwise.
    pub array: bool,
    /// Wall-clock time at which the job was accepted. Older jobs go first.
    pub accepted: Micros,
}

impl EvacuationPriority {
    /// Compares two priorities. `Less` means that `self` goes first.
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

/// A waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting<T> {
    /// The job.
    pub job: T,
    /// The priority of the job if it was displaced, else `None`.
    pub displaced: Option<EvacuationPriority>,
}

/// A displaced job and its position in the team's order, in which 0 is the most urgent job.
struct DisplacedEntry<T> {
    position: usize,
    priority: EvacuationPriority,
    job: T,
}

/// Sorts the displaced jobs of a team by their evacuation priorities. `ordered` lists the waiting
/// jobs of the team, the most urgent one first.
///
/// - Jobs that are not displaced keep their order.
/// - Displaced jobs are sorted by priority. Jobs of equal priority keep their order.
/// - A job that is not displaced stays before every displaced job that follows it in `ordered`, so
///   that urgent work never waits behind evacuated work that is less urgent.
/// - Within these rules, displaced jobs are placed as early as possible.
pub fn merge_displaced<T>(ordered: Vec<Waiting<T>>) -> Vec<T> {
    if ordered.iter().all(|waiting| waiting.displaced.is_none()) {
        return ordered.into_iter().map(|waiting| waiting.job).collect();
    }
    let mut displaced: Vec<DisplacedEntry<T>> = Vec::new();
    let mut others: Vec<(usize, T)> = Vec::new();
    for (position, waiting) in ordered.into_iter().enumerate() {
        match waiting.displaced {
            Some(priority) => displaced.push(DisplacedEntry {
                position,
                priority,
                job: waiting.job,
            }),
            None => others.push((position, waiting.job)),
        }
    }
    displaced.sort_by(|left, right| {
        let by_priority = left.priority.order(&right.priority);
        by_priority.then(left.position.cmp(&right.position))
    });
    let mut merged = Vec::with_capacity(displaced.len() + others.len());
    let mut others = others.into_iter().peekable();
    for DisplacedEntry { position, job, .. } in displaced {
        while let Some((_, more_urgent)) = others.next_if(|(other, _)| *other < position) {
            merged.push(more_urgent);
        }
        merged.push(job);
    }
    merged.extend(others.map(|(_, job)| job));
    merged
}

/// A machine of a lost zone whose heartbeats do not arrive.
#[derive(Debug, Clone, PartialEq)]
pub struct SilentMachine {
    /// The id of the machine.
    pub id: MachineId,
    /// The highest priority among the jobs that may run on the machine; `None` if it has no work.
    pub priority: Option<EvacuationPriority>,
}

/// A displaced job that waits for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct DisplacedJob {
    /// The id of the job.
    pub id: JobId,
    /// The priority of the job.
    pub priority: EvacuationPriority,
    /// Number of its tasks that wait.
    pub tasks: u32,
}

/// The progress of the evacuation after one loss of a zone, in one partition.
#[derive(Debug, Default)]
struct Evacuation {
    /// The epoch of the loss.
    epoch: u64,
    /// The newest wave that this owner has learned of.
    wave: u64,
    /// Number of machines that may still be released in this wave.
    remaining_machines: usize,
    /// Number of displaced tasks that may still be admitted in this wave.
    remaining_tasks: u32,
    /// Machines that this and earlier waves have allowed to be released.
    released: BTreeSet<MachineId>,
    /// Jobs that this and earlier waves have admitted.
    admitted: BTreeSet<JobId>,
}

/// The evacuation waves as the owner of a partition carries them out.
///
/// Each wave that the leader commits allows the owner to release a limited number of silent
/// machines and to admit a limited number of displaced tasks. An owner that has just taken over the
/// partition allows itself a single wave, whatever wave number it reads. Jobs that the previous
/// owner placed no longer wait, so the evacuation continues where the previous owner stopped.
#[derive(Debug, Default)]
pub struct Waves {
    settings: WaveSettings,
    evacuations: BTreeMap<ZoneId, Evacuation>,
}

impl Waves {
    /// Creates the waves while no zone is lost.
    pub fn new(settings: WaveSettings) -> Self {
        Waves {
            settings,
            evacuations: BTreeMap::new(),
        }
    }

    /// Updates the evacuations to the zones that are lost now. Starts a new wave in every zone
    /// whose wave number has risen.
    pub fn sync(&mut self, lost: &BTreeMap<ZoneId, ZoneRecord>) {
        self.evacuations.retain(|id, evacuation| {
            // An evacuation after an earlier loss of the zone has ended.
            lost.get(id)
                .is_some_and(|zone| zone.epoch == evacuation.epoch)
        });
        for (id, zone) in lost {
            let new_evacuation = Evacuation {
                epoch: zone.epoch,
                ..Evacuation::default()
            };
            let evacuation = self.evacuations.entry(id.clone()).or_insert(new_evacuation);
            if zone.wave > evacuation.wave {
                evacuation.wave = zone.wave;
                evacuation.remaining_machines = self.settings.machines;
                evacuation.remaining_tasks = self.settings.tasks;
            }
        }
    }

    /// Returns the silent machines of a lost zone that may be released now.
    ///
    /// These are the machines of `silent` that were allowed earlier, and the machines of the
    /// highest priority among the others, up to the limit of this wave. Empty if the zone is not
    /// being evacuated.
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
            let already_allowed = evacuation.released.contains(&machine.id);
            if !already_allowed && evacuation.remaining_machines > 0 {
                evacuation.remaining_machines -= 1;
                evacuation.released.insert(machine.id.clone());
            } else if !already_allowed {
                continue;
            }
            allowed.push(machine.id);
        }
        allowed
    }

    /// Admits displaced jobs of a lost zone in the order of their priorities, up to the number of
    /// tasks that this wave allows. The last job may exceed that number, because a job is admitted
    /// whole.
    pub fn admit(&mut self, zone: &ZoneId, mut jobs: Vec<DisplacedJob>) {
        let Some(evacuation) = self.evacuations.get_mut(zone) else {
            return;
        };
        jobs.retain(|job| !evacuation.admitted.contains(&job.id));
        jobs.sort_by(|left, right| left.priority.order(&right.priority));
        for job in jobs {
            if evacuation.remaining_tasks == 0 {
                return;
            }
            evacuation.remaining_tasks = evacuation.remaining_tasks.saturating_sub(job.tasks);
            evacuation.admitted.insert(job.id);
        }
    }

    /// Returns whether a job displaced from `zone` may request machines: it has been admitted, or
    /// the zone is not being evacuated.
    pub fn is_admitted(&self, zone: &ZoneId, job: &JobId) -> bool {
        self.evacuations
            .get(zone)
            .is_none_or(|evacuation| evacuation.admitted.contains(job))
    }

    /// Returns whether a zone is being evacuated.
    pub fn is_evacuating(&self, zone: &ZoneId) -> bool {
        self.evacuations.contains_key(zone)
    }

    /// Returns whether a silent machine must be retained until a further wave allows its release.
    /// False if the zone is not being evacuated.
    pub fn is_held_back(&self, zone: &ZoneId, machine: &MachineId) -> bool {
        let evacuation = self.evacuations.get(zone);
        evacuation.is_some_and(|evacuation| !evacuation.released.contains(machine))
    }
}
