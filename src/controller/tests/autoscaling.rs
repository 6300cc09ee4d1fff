//! Scale out and in: machine types, machines that never boot, idle machines.

use super::simulation::{Simulation, secs};
use crate::cloud::MachineType;
use crate::jobs::tests::{desc, types};
use crate::settings::tests::settings;
use crate::store::keys;

#[test]
fn first_machine_type_list_is_shared_through_the_store() {
    let simulation = Simulation::started(2, 1);
    let stored: Vec<MachineType> =
        serde_json::from_value(simulation.store.value(keys::TYPES).clone()).expect("types");
    assert_eq!(stored, types());
    assert_eq!(settings().platform.initial_size, 2);
}

/// While work waits for machines that do not come up, they are paid for.
#[test]
fn machines_that_never_boot_are_replaced_and_not_requested_twice() {
    let mut simulation = Simulation::new(1, 0);
    simulation.cloud.has_capacity = true;
    simulation.advance(3.0);
    simulation.submit(&desc("j-1", 8));
    while simulation.workers.is_empty() {
        simulation.advance(0.1);
    }
    simulation.advance(2.0);
    let requested = simulation.workers.len();
    simulation.keep_booting();
    // The boot timeout: two and a half times the usual boot duration and ten seconds.
    simulation.advance(80.0);
    assert_eq!(
        simulation.workers.len(),
        requested,
        "they may still come up"
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
        "released, and paid for no longer"
    );
    simulation.advance(10.0);
    assert_eq!(simulation.running_count(), 8, "on those added instead");
}

/// The minimum charge of a minute is paid once, not again after each failover.
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
