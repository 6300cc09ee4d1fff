//! The autoscaler: the shared list of machine types, machines that never boot, and the release of
//! idle machines.

use super::simulation::{Simulation, secs};
use crate::cloud::MachineType;
use crate::jobs::tests::{job_desc, machine_types};
use crate::settings::tests::settings;
use crate::store::keys;

/// Controllers must use the same machine types. The first list that the cloud returns is stored for
/// all of them.
#[test]
fn first_machine_type_list_is_shared_through_the_store() {
    let simulation = Simulation::started(2, 1);
    let stored: Vec<MachineType> =
        serde_json::from_value(simulation.store.value(keys::TYPES).clone()).expect("types");
    assert_eq!(stored, machine_types());
    assert_eq!(settings().platform.initial_size, 2);
}

/// Machines that never boot are charged while tasks wait for them. They must be released after the
/// boot timeout and replaced, and no further machines may be requested before that.
#[test]
fn machines_that_never_boot_are_replaced_and_not_requested_twice() {
    let mut simulation = Simulation::new(1, 0);
    simulation.cloud.has_capacity = true;
    simulation.advance(3.0);
    simulation.submit(&job_desc("j-1", 8));
    while simulation.workers.is_empty() {
        simulation.advance(0.1);
    }
    simulation.advance(2.0);
    let requested = simulation.workers.len();
    simulation.keep_booting();
    // The boot timeout is two and a half times the usual boot duration plus ten seconds.
    simulation.advance(80.0);
    assert_eq!(
        simulation.workers.len(),
        requested,
        "no further machine is requested before the boot timeout"
    );
    assert!(
        simulation.cloud.released.is_empty(),
        "{:?}",
        simulation.cloud.released
    );
    simulation.advance(15.0);
    assert_eq!(
        simulation.cloud.released.len(),
        requested,
        "the machines are released and no longer charged"
    );
    simulation.advance(10.0);
    assert_eq!(
        simulation.running_count(),
        8,
        "all tasks run on replacement machines"
    );
}

/// An idle machine is kept until its minimum charge of one minute is used up. This time must not
/// start anew at each failover, or rolling restarts would keep idle machines for ever.
#[test]
fn rolling_restarts_dont_keep_idle_machines_from_release() {
    let mut simulation = Simulation::started(2, 3);
    simulation.idle_release_after = secs(5.0);
    simulation.advance(30.0);
    for _ in 0..2 {
        for controller in 0..2 {
            simulation.crash_controller(controller);
            simulation.advance(0.3);
            simulation.start_controller(controller);
        }
        simulation.advance(15.0);
    }
    assert_eq!(simulation.cloud.released.len(), 3);
}
