//! Tests of the order of displaced jobs, of the limits of evacuation waves, and of the selection of
//! tasks to move back. Order and limits are checked for random jobs and machines.

#![expect(clippy::expect_used, reason = "helpers of tests fail by panicking")]

mod common;

use proptest::prelude::*;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{JobId, MachineId, ZoneId};
use std::collections::BTreeMap;
use zone_failover::evacuation::{
    DisplacedJob, EvacuationPriority, SilentMachine, Waiting, Waves, merge_displaced,
};
use zone_failover::failback::{EvacuatedTask, choose};
use zone_failover::health::ZoneState;
use zone_failover::record::ZoneRecord;
use zone_failover::settings::{FailbackSettings, WaveSettings};

fn priority(value: f64) -> EvacuationPriority {
    EvacuationPriority {
        admitted: false,
        value,
        service: false,
        array: false,
        accepted: Micros::ZERO,
    }
}

fn any_priority() -> impl Strategy<Value = EvacuationPriority> {
    (0..4_u8, any::<bool>(), any::<bool>(), 0..3_u64).prop_map(
        |(value, service, array, accepted)| EvacuationPriority {
            admitted: accepted == 1,
            value: f64::from(value),
            service,
            array,
            accepted: Micros(accepted),
        },
    )
}

/// The position of a job in the merged order.
fn position(merged: &[usize], job: usize) -> usize {
    merged
        .iter()
        .position(|merged_job| *merged_job == job)
        .expect("every job is in the merged order")
}

proptest! {
    #![proptest_config(common::cases(400))]

    /// Guards against lost or duplicated jobs, and against urgent jobs that wait behind less urgent
    /// jobs because those were displaced.
    #[test]
    fn merge_sorts_displaced_jobs_without_delaying_more_urgent_jobs(
        jobs in prop::collection::vec(prop::option::of(any_priority()), 0..24),
    ) {
        let waiting = jobs.iter().enumerate().map(|(job, displaced)| Waiting {
            job,
            displaced: *displaced,
        });
        let merged = merge_displaced(waiting.collect());
        let mut merged_jobs = merged.clone();
        merged_jobs.sort_unstable();
        let all_jobs: Vec<usize> = (0..jobs.len()).collect();
        prop_assert_eq!(merged_jobs, all_jobs, "each job is in the merged order exactly once");
        for first in 0..jobs.len() {
            for second in first + 1..jobs.len() {
                let keeps_order = position(&merged, first) < position(&merged, second);
                match (&jobs[first], &jobs[second]) {
                    (None, None) => {
                        prop_assert!(keeps_order, "jobs that are not displaced changed their order");
                    }
                    (None, Some(_)) => {
                        prop_assert!(keeps_order, "an urgent job waits behind a less urgent one");
                    }
                    (Some(first), Some(second)) => prop_assert_eq!(
                        keeps_order,
                        first.order(second).is_le(),
                        "displaced jobs are not sorted by priority"
                    ),
                    (Some(_), None) => {}
                }
            }
        }
    }

    /// Guards against releasing more machines than the waves allow, which would happen if a
    /// repeated check within one wave counted as a new wave, and against releasing machines in an
    /// order other than that of their priorities.
    #[test]
    fn waves_release_limited_machines_of_highest_priority_first(
        machines in prop::collection::vec(any_priority(), 1..60),
        size in 1..10_usize,
        wave_count in 1..20_u64,
    ) {
        let mut waves = Waves::new(WaveSettings { machines: size, ..WaveSettings::default() });
        let silent: Vec<SilentMachine> = machines
            .iter()
            .enumerate()
            .map(|(index, priority)| SilentMachine {
                id: format!("m-{index}").into(),
                priority: Some(*priority),
            })
            .collect();
        let mut released: Vec<MachineId> = Vec::new();
        for wave in 1..=wave_count {
            waves.sync(&lost(wave));
            let released_now = waves.release(&zone(), silent.clone());
            prop_assert!(released_now.len() <= size * wave as usize);
            // A second check within the same wave allows the same machines.
            prop_assert_eq!(&waves.release(&zone(), silent.clone()), &released_now);
            prop_assert!(released.iter().all(|id| released_now.contains(id)));
            released = released_now;
        }
        let priority_of = |id: &MachineId| {
            let machine = silent.iter().find(|machine| machine.id == *id);
            machine
                .and_then(|machine| machine.priority)
                .expect("every machine has a priority")
        };
        for retained in silent.iter().filter(|machine| !released.contains(&machine.id)) {
            for id in &released {
                prop_assert!(priority_of(id).order(&priority_of(&retained.id)).is_le());
            }
        }
    }
}

fn zone() -> ZoneId {
    "x".into()
}

/// The record of the first loss of the zone, at the given wave.
fn lost(wave: u64) -> BTreeMap<ZoneId, ZoneRecord> {
    lost_in_epoch(wave, 1)
}

/// The record of the loss with the given epoch, at the given wave.
fn lost_in_epoch(wave: u64, epoch: u64) -> BTreeMap<ZoneId, ZoneRecord> {
    let record = ZoneRecord {
        state: ZoneState::Lost,
        epoch,
        since: Micros::ZERO,
        relapses: 1,
        wave,
        declared: false,
    };
    BTreeMap::from([(zone(), record)])
}

fn displaced(id: &str, value: f64, tasks: u32) -> DisplacedJob {
    DisplacedJob {
        id: id.into(),
        priority: priority(value),
        tasks,
    }
}

/// Guards against displaced jobs that request machines all at once, or a second time after another
/// loss of the zone without a new wave.
#[test]
fn each_wave_admits_displaced_jobs_in_order_of_priority() {
    let mut waves = Waves::new(WaveSettings {
        tasks: 10,
        ..WaveSettings::default()
    });
    let jobs = || {
        vec![
            displaced("j-1", 1.0, 8),
            displaced("j-2", 2.0, 8),
            displaced("j-3", 0.0, 8),
        ]
    };
    let admitted = |waves: &Waves| -> Vec<bool> {
        ["j-1", "j-2", "j-3"]
            .iter()
            .map(|id| waves.is_admitted(&zone(), &JobId::from(*id)))
            .collect()
    };
    assert_eq!(
        admitted(&waves),
        [true; 3],
        "the zone is not being evacuated"
    );
    waves.sync(&lost(1));
    waves.admit(&zone(), jobs());
    assert_eq!(
        admitted(&waves),
        [true, true, false],
        "a job is admitted whole, beyond the 10 tasks of the wave"
    );
    waves.sync(&lost(1));
    waves.admit(&zone(), jobs());
    assert_eq!(
        admitted(&waves),
        [true, true, false],
        "the same wave admits no further job"
    );
    waves.sync(&lost(2));
    waves.admit(&zone(), jobs());
    assert_eq!(admitted(&waves), [true; 3]);
    // After another loss no job is admitted yet.
    waves.sync(&lost_in_epoch(1, 2));
    assert_eq!(admitted(&waves), [false; 3]);
    waves.sync(&BTreeMap::new());
    assert_eq!(admitted(&waves), [true; 3], "the zone has recovered");
}

/// Guards against a burst of releases after a change of owner: a new owner that reads wave 40 must
/// not release the machines of 40 waves at once.
#[test]
fn new_owner_allows_one_wave_whatever_the_wave_number() {
    let mut waves = Waves::new(WaveSettings {
        machines: 2,
        ..WaveSettings::default()
    });
    waves.sync(&lost(40));
    let ids: Vec<MachineId> = (0..9).map(|index| format!("m-{index}").into()).collect();
    let silent = ids.iter().map(|id| SilentMachine {
        id: id.clone(),
        priority: None,
    });
    let released = waves.release(&zone(), silent.collect());
    assert_eq!(released.len(), 2);
    let held_back = ids.iter().filter(|id| waves.is_held_back(&zone(), id));
    assert_eq!(held_back.count(), 7);
}

/// Guards against an order of evacuation in which the tie-breakers take precedence over the value
/// of the operators' expression, or are applied in the wrong order.
#[test]
fn equal_values_are_ordered_by_service_then_single_task_then_age() {
    let base = priority(1.0);
    let service = EvacuationPriority {
        service: true,
        ..base
    };
    let array = EvacuationPriority {
        array: true,
        ..base
    };
    let later = EvacuationPriority {
        accepted: Micros(9),
        ..base
    };
    let mut all = [array, later, base, service];
    all.sort_by(EvacuationPriority::order);
    assert_eq!(all, [service, base, later, array]);
    assert!(
        priority(2.0).order(&service).is_lt(),
        "the value of the expression takes precedence"
    );
}

/// Guards against moving tasks that would lose their progress, that gain too little, or that exceed
/// the budget of their team.
#[test]
fn tasks_are_moved_back_only_with_kept_progress_sufficient_gain_and_budget() {
    let settings = FailbackSettings {
        move_running: true,
        tasks_per_team: 2,
        ..FailbackSettings::default()
    };
    let task = |key, team, has_started, saves_checkpoints, gain, loss| EvacuatedTask {
        key,
        team,
        has_started,
        saves_checkpoints,
        gain,
        loss,
    };
    let tasks = vec![
        task("small gain", 0, true, true, 2.0, 1.0),
        task("large gain", 0, true, true, 9.0, 1.0),
        task("third of its team", 0, true, true, 1.9, 1.0),
        task("no checkpoints", 1, true, false, 9.0, 1.0),
        task("not started", 1, false, false, 9.0, 1.0),
        task("insufficient gain", 1, true, true, 1.4, 1.0),
        task("no gain", 2, true, true, 0.0, 0.0),
    ];
    let none_moving = BTreeMap::new();
    assert_eq!(
        choose(tasks.clone(), &none_moving, &settings),
        ["large gain", "not started", "small gain"]
    );
    let moving = BTreeMap::from([(0, 1)]);
    assert_eq!(
        choose(tasks.clone(), &moving, &settings),
        ["large gain", "not started"]
    );
    assert!(
        choose(tasks, &none_moving, &FailbackSettings::default()).is_empty(),
        "moving running tasks is disabled by default"
    );
}
