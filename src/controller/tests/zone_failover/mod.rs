//! Zone failover: zones that are lost and become healthy again, with the faults that coincide.
//! All invariants are checked at every moment: no task runs on two machines, limits hold, and
//! no answer is taken back.

mod capacity;
mod controller_changes;
mod detection;
mod evacuation;
mod failback;
mod histories;

use super::simulation::{SimulatedWorker, Simulation, ZONES, secs};
use crate::ids::MachineId;
use crate::jobs::JobState;
use crate::jobs::tests::desc;
use crate::subsystems::Subsystems;
use serde_json::json;

/// The subsystems file that enables zone failover.
const ENABLED: &str = "[zone-failover]\nenabled = true\n";
/// One controller stands in each zone.
const CONTROLLERS: usize = 3;
/// Rounds of five seconds that jobs may take to be done.
const MAX_FINISH_ROUNDS: usize = 60;

/// A controller and so many machines of four cores in each of the zones.
fn zones(machines: usize, subsystems: &str) -> Simulation {
    zones_with(machines, subsystems, |_| {})
}

/// The same, changed before the first step.
fn zones_with(machines: usize, subsystems: &str, change: impl Fn(&mut Simulation)) -> Simulation {
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
    let subsystems = Subsystems::parse(subsystems, &settings).expect("a file");
    for controller in &mut simulation.controllers {
        controller.subsystems = subsystems.clone();
    }
    simulation.start_all_controllers();
    simulation.advance(12.0);
    simulation
}

/// The recorded state of a zone.
fn zone_state(simulation: &Simulation, zone: &str) -> String {
    let records = simulation.zone_records();
    let state = records.and_then(|records| records["zones"][zone]["state"].as_str());
    state.unwrap_or("healthy").to_owned()
}

fn zone_number(simulation: &Simulation, zone: &str, field: &str) -> u64 {
    let records = simulation.zone_records();
    let number = records.and_then(|records| records["zones"][zone][field].as_u64());
    number.unwrap_or(0)
}

/// How often a zone was lost.
fn zone_epoch(simulation: &Simulation, zone: &str) -> u64 {
    zone_number(simulation, zone, "epoch")
}

/// The evacuation wave that a zone is in.
fn evacuation_wave(simulation: &Simulation, zone: &str) -> u64 {
    zone_number(simulation, zone, "wave")
}

/// The controller that leads.
fn leader(simulation: &Simulation) -> usize {
    simulation.leader().expect("a leader")
}

/// The workers in a zone.
fn workers_in(simulation: &Simulation, zone: &str) -> Vec<usize> {
    (0..simulation.workers.len())
        .filter(|worker| simulation.workers[*worker].zone == zone)
        .collect()
}

/// The machines of a zone that were released.
fn released_in(simulation: &Simulation, zone: &str) -> Vec<MachineId> {
    workers_in(simulation, zone)
        .into_iter()
        .map(|worker| simulation.workers[worker].id.clone())
        .filter(|machine| simulation.cloud.is_released(machine))
        .collect()
}

/// The tasks that run in a zone and whose identifier begins with a prefix.
fn running_in(simulation: &Simulation, zone: &str, prefix: &str) -> usize {
    workers_in(simulation, zone)
        .into_iter()
        .map(|worker| simulation.workers[worker].running_tasks(prefix).count())
        .sum()
}

/// The tasks that run outside of a zone and whose identifier begins with a prefix.
fn running_outside(simulation: &Simulation, zone: &str, prefix: &str) -> usize {
    ZONES
        .into_iter()
        .filter(|other| *other != zone)
        .map(|other| running_in(simulation, other, prefix))
        .sum()
}

/// Jobs bound to two zones leave free capacity only in the third.
fn fill(simulation: &mut Simulation, zones: [&str; 2], tasks: u32) {
    for (index, zone) in zones.into_iter().enumerate() {
        let mut filler = desc(&format!("j-9{index}"), tasks);
        filler.zone = Some(zone.into());
        simulation.submit(&filler);
    }
    simulation.advance(3.0);
}

/// Lets tasks end by themselves until each of the jobs is done.
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
    let open: Vec<&&str> = ids
        .iter()
        .filter(|id| simulation.ended_state(id).is_none())
        .collect();
    panic!("not done: {open:?}; {:?}", simulation.zone_records());
}
