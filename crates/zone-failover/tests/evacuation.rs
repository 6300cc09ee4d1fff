//! The order of displaced work and its waves, over random work.

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

fn position(merged: &[usize], job: usize) -> usize {
    merged.iter().position(|j| *j == job).expect("merged")
}

proptest! {
    #![proptest_config(common::cases(400))]

    #[test]
    fn the_merged_order_keeps_its_promises(
        jobs in prop::collection::vec(prop::option::of(any_priority()), 0..24),
    ) {
        let waiting = jobs.iter().enumerate().map(|(job, displaced)| Waiting { job, displaced: *displaced });
        let merged = merge_displaced(waiting.collect());
        let mut all = merged.clone();
        all.sort_unstable();
        prop_assert_eq!(all, (0..jobs.len()).collect::<Vec<_>>(), "each job once");
        for a in 0..jobs.len() {
            for b in a + 1..jobs.len() {
                let a_first = position(&merged, a) < position(&merged, b);
                match (&jobs[a], &jobs[b]) {
                    (None, None) => prop_assert!(a_first, "others keep their order"),
                    (None, Some(_)) => prop_assert!(a_first, "urgent work waits behind evacuated lower work"),
                    (Some(a), Some(b)) => prop_assert_eq!(a_first, a.order(b).is_le(), "the stated order"),
                    (Some(_), None) => {}
                }
            }
        }
    }

    /// Whatever machines go silent, in whatever order owners check: at most a wave's number
    /// is given up for each wave, and the most important ones first.
    #[test]
    fn waves_are_bounded_and_take_the_most_important_first(
        machines in prop::collection::vec(any_priority(), 1..60),
        size in 1..10_usize,
        looks in 1..20_u64,
    ) {
        let mut waves = Waves::new(WaveSettings { machines: size, ..WaveSettings::default() });
        let silent: Vec<SilentMachine> = machines
            .iter()
            .enumerate()
            .map(|(n, priority)| SilentMachine { id: format!("m-{n}").into(), priority: Some(*priority) })
            .collect();
        let mut given: Vec<MachineId> = Vec::new();
        for wave in 1..=looks {
            waves.sync(&lost(wave));
            let now = waves.release(&zone(), silent.clone());
            prop_assert!(now.len() <= size * wave as usize);
            // Asked again within the wave, it allows the same.
            prop_assert_eq!(&waves.release(&zone(), silent.clone()), &now);
            prop_assert!(given.iter().all(|id| now.contains(id)));
            given = now;
        }
        let priority_of = |id: &MachineId| silent.iter().find(|m| m.id == *id).and_then(|m| m.priority).expect("one");
        for kept in silent.iter().filter(|m| !given.contains(&m.id)) {
            for id in &given {
                prop_assert!(priority_of(id).order(&priority_of(&kept.id)).is_le());
            }
        }
    }
}

fn zone() -> ZoneId {
    "x".into()
}

fn lost(wave: u64) -> BTreeMap<ZoneId, ZoneRecord> {
    lost_again(wave, 1)
}

fn lost_again(wave: u64, epoch: u64) -> BTreeMap<ZoneId, ZoneRecord> {
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

#[test]
fn displaced_work_asks_for_machines_wave_by_wave_in_its_order() {
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
    assert_eq!(admitted(&waves), [true; 3], "nothing is evacuated");
    waves.sync(&lost(1));
    waves.admit(&zone(), jobs());
    assert_eq!(admitted(&waves), [true, true, false], "whole jobs");
    waves.sync(&lost(1));
    waves.admit(&zone(), jobs());
    assert_eq!(admitted(&waves), [true, true, false], "the same wave");
    waves.sync(&lost(2));
    waves.admit(&zone(), jobs());
    assert_eq!(admitted(&waves), [true; 3]);
    // Lost once more: all begins anew.
    waves.sync(&lost_again(1, 2));
    assert_eq!(admitted(&waves), [false; 3]);
    waves.sync(&BTreeMap::new());
    assert_eq!(admitted(&waves), [true; 3], "the zone is back");
}

/// Guards against a burst after a failover: the number of the wave is no allowance.
#[test]
fn a_holder_that_finds_a_late_wave_allows_itself_one() {
    let mut waves = Waves::new(WaveSettings {
        machines: 2,
        ..WaveSettings::default()
    });
    waves.sync(&lost(40));
    let ids: Vec<MachineId> = (0..9).map(|n| format!("m-{n}").into()).collect();
    let silent = ids.iter().map(|id| SilentMachine {
        id: id.clone(),
        priority: None,
    });
    let released = waves.release(&zone(), silent.collect());
    assert_eq!(released.len(), 2);
    let held_back = ids.iter().filter(|id| waves.is_held_back(&zone(), id));
    assert_eq!(held_back.count(), 7);
}

#[test]
fn services_go_before_arrays_of_like_priority_and_the_oldest_first() {
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
        "the expression comes first"
    );
}

#[test]
fn work_is_moved_home_only_by_gain_and_budget_and_if_it_keeps_what_it_has_done() {
    let settings = FailbackSettings {
        move_running: true,
        tasks_per_team: 2,
        ..FailbackSettings::default()
    };
    let task = |key, team, begun, saves, gain, loss| EvacuatedTask {
        key,
        team,
        begun,
        saves,
        gain,
        loss,
    };
    let tasks = vec![
        task("small gain", 0, true, true, 2.0, 1.0),
        task("large gain", 0, true, true, 9.0, 1.0),
        task("third of its team", 0, true, true, 1.9, 1.0),
        task("can't save", 1, true, false, 9.0, 1.0),
        task("not begun", 1, false, false, 9.0, 1.0),
        task("not worth it", 1, true, true, 1.4, 1.0),
        task("no gain", 2, true, true, 0.0, 0.0),
    ];
    let none = BTreeMap::new();
    assert_eq!(
        choose(tasks.clone(), &none, &settings),
        ["large gain", "not begun", "small gain"]
    );
    let moving = BTreeMap::from([(0, 1)]);
    assert_eq!(
        choose(tasks.clone(), &moving, &settings),
        ["large gain", "not begun"]
    );
    assert!(
        choose(tasks, &none, &FailbackSettings::default()).is_empty(),
        "off"
    );
}
