//! Tests of zone failover: zones are lost and become healthy again while other faults occur.
//!
//! The simulation checks its invariants after every step: no task runs on two machines, and no
//! team exceeds its quota limit.

mod capacity;
mod controller_changes;
mod detection;
mod evacuation;
mod failback;
mod histories;

use super::simulation::{SimulatedWorker, Simulation, ZONES, secs};
use crate::ids::MachineId;
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;
use crate::subsystems::Subsystems;
use serde_json::json;

/// The subsystems file that enables zone failover.
const FAILOVER_ENABLED: &str = "[zone-failover]\nenabled = true\n";
/// Number of controllers, one in each zone.
const CONTROLLERS: usize = 3;
/// Maximum number of five-second rounds until jobs are done.
const MAX_FINISH_ROUNDS: usize = 60;

/// Starts a cluster of three zones, each with one controller and the given number of machines of
/// four cores.
fn three_zones(machines: usize, subsystems: &str) -> Simulation {
    three_zones_with(machines, subsystems, |_| {})
}

/// Starts the cluster of [`three_zones`] after applying a change to the simulation.
fn three_zones_with(
    machines: usize,
    subsystems: &str,
    change: impl Fn(&mut Simulation),
) -> Simulation {
    let mut simulation = Simulation::builder(CONTROLLERS, 0)
        .settings(|settings| {
            settings["settings"]["zones"] = json!(ZONES);
            for seed in settings["seeds"].as_array_mut().expect("seeds") {
                let zone = match seed["label"].as_str() {
                    Some("c0") => "x",
                    Some("c1") => "y",
                    _ => "z",
                };
                seed["area"] = zone.into();
            }
        })
        .whole_core()
        .team_quotas(1_000.0, 100_000.0)
        .build();
    simulation.cloud.machine_types[0].zones = ZONES.map(String::from).to_vec();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let now = simulation.now;
        let numbers = index * machines..(index + 1) * machines;
        let workers = numbers.map(|number| SimulatedWorker::new(number, "small", zone, now));
        simulation.workers.extend(workers);
    }
    change(&mut simulation);
    let settings = simulation.controllers[0].settings.clone();
    let subsystems = Subsystems::parse(subsystems, &settings).expect("a valid subsystems file");
    for controller in &mut simulation.controllers {
        controller.subsystems = subsystems.clone();
    }
    simulation.start_all_controllers();
    simulation.advance(12.0);
    simulation
}

/// Returns the recorded state of a zone. A zone without a record is healthy.
fn zone_state(simulation: &Simulation, zone: &str) -> String {
    let records = simulation.zone_records();
    let state = records.and_then(|records| records["zones"][zone]["state"].as_str());
    state.unwrap_or("healthy").to_owned()
}

/// Returns a numeric field of a zone's record, or 0 if it is not recorded.
fn zone_field(simulation: &Simulation, zone: &str, field: &str) -> u64 {
    let records = simulation.zone_records();
    let number = records.and_then(|records| records["zones"][zone][field].as_u64());
    number.unwrap_or(0)
}

/// Returns the epoch of a zone: the number of times that it has been lost.
fn zone_epoch(simulation: &Simulation, zone: &str) -> u64 {
    zone_field(simulation, zone, "epoch")
}

/// Returns the number of a zone's current evacuation wave.
fn evacuation_wave(simulation: &Simulation, zone: &str) -> u64 {
    zone_field(simulation, zone, "wave")
}

/// Returns the controller that the store records as leader. Panics without a leader.
fn leader(simulation: &Simulation) -> usize {
    simulation.leader().expect("a leader")
}

/// Returns the indices of the workers in a zone, including workers of released machines.
fn workers_in(simulation: &Simulation, zone: &str) -> Vec<usize> {
    (0..simulation.workers.len())
        .filter(|worker| simulation.workers[*worker].zone == zone)
        .collect()
}

/// Returns the machines of a zone that were released.
fn released_in(simulation: &Simulation, zone: &str) -> Vec<MachineId> {
    workers_in(simulation, zone)
        .into_iter()
        .map(|worker| simulation.workers[worker].id.clone())
        .filter(|machine| simulation.cloud.is_released(machine))
        .collect()
}

/// Returns the number of tasks that run in a zone and whose identifier begins with a prefix.
fn running_in(simulation: &Simulation, zone: &str, prefix: &str) -> usize {
    workers_in(simulation, zone)
        .into_iter()
        .map(|worker| simulation.workers[worker].running_tasks(prefix).count())
        .sum()
}

/// Returns the number of tasks that run outside of a zone and whose identifier begins with a
/// prefix.
fn running_outside(simulation: &Simulation, zone: &str, prefix: &str) -> usize {
    ZONES
        .into_iter()
        .filter(|other| *other != zone)
        .map(|other| running_in(simulation, other, prefix))
        .sum()
}

/// Returns the lowest attempt of the tasks that run outside of a zone and whose identifier begins
/// with a prefix.
fn first_attempt_outside(simulation: &Simulation, zone: &str, prefix: &str) -> Option<u64> {
    let outside = simulation.workers.iter().filter(|other| other.zone != zone);
    let tasks = outside.flat_map(|worker| &worker.tasks);
    let of_prefix =
        tasks.filter(|(task, attempt)| task.starts_with(prefix) && attempt.is_running());
    of_prefix.map(|(_, attempt)| attempt.attempt).min()
}

/// Fills two zones with jobs that are bound to them, `tasks` tasks in each, so that only the third
/// zone has free capacity. The jobs are `j-90` and `j-91`.
fn fill_zones(simulation: &mut Simulation, zones: [&str; 2], tasks: u32) {
    for (index, zone) in zones.into_iter().enumerate() {
        let mut filler = job_desc(&format!("j-9{index}"), tasks);
        filler.zone = Some(zone.into());
        simulation.submit(&filler);
    }
    simulation.advance(3.0);
}

/// Lets tasks exit after two seconds until all of the given jobs are done. Panics if they are not
/// done in time.
fn finish_jobs(simulation: &mut Simulation, ids: &[&str]) {
    simulation.task_duration = Some(secs(2.0));
    let is_done =
        |simulation: &Simulation, id: &str| simulation.ended_state(id) == Some(JobState::Done);
    for _ in 0..MAX_FINISH_ROUNDS {
        if ids.iter().all(|id| is_done(simulation, id)) {
            return;
        }
        simulation.advance(5.0);
    }
    let unfinished: Vec<&&str> = ids
        .iter()
        .filter(|id| simulation.ended_state(id).is_none())
        .collect();
    panic!(
        "jobs did not end in time: {unfinished:?}; zone records: {:?}",
        simulation.zone_records()
    );
}
