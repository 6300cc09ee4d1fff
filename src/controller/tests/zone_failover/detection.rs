//! Detection of lost zones: what is evidence of a loss, what is none, and how flapping is
//! damped.

use super::{ENABLED, workers_in, zone_epoch, zone_state, zones};
use crate::controller::tests::simulation::{Simulation, ZONES};
use crate::jobs::tests::desc;
use crate::store::keys;

#[test]
fn short_isolation_and_fast_flapping_move_nothing() {
    let mut simulation = zones(4, ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&desc("j-1", 20));
    simulation.advance(6.0);
    let placements = |simulation: &Simulation| -> Vec<Vec<usize>> {
        let tasks = (0..20).map(|index| format!("j-1/{index}"));
        tasks
            .map(|task| simulation.workers_running(&task))
            .collect()
    };
    let first = placements(&simulation);
    for (down, up) in [(0.3, 1.0), (3.0, 5.0), (5.0, 6.0), (5.5, 8.0)] {
        simulation.set_zone_isolated("x", true);
        simulation.advance(down);
        simulation.set_zone_isolated("x", false);
        simulation.advance(up);
    }
    assert_eq!(zone_epoch(&simulation, "x"), 0);
    assert!(simulation.cloud.released.is_empty() && simulation.cloud.scale_outs.is_empty());
    assert_eq!(placements(&simulation), first, "every task is where it was");
}

/// Each change of state and each wave is a write; a zone that flaps for minutes must not spend
/// the store's write rate.
#[test]
fn zone_that_flaps_for_minutes_is_damped() {
    let mut simulation = zones(4, ENABLED);
    // Its machines stay, since the cloud can't release them.
    simulation.cloud.is_unreachable = true;
    let (mut recoveries, mut last, mut probations) = (0, String::new(), Vec::new());
    let mut probation_began_at = simulation.now;
    let stored = simulation.store.keys.get(keys::ZONES);
    let revision = stored.map_or(0, |stored| stored.revision);
    assert_eq!(revision, 0);
    for _ in 0..12 {
        simulation.set_zone_isolated("x", true);
        for is_isolated in [true, false] {
            simulation.set_zone_isolated("x", is_isolated);
            for _ in 0..50 {
                simulation.advance(0.5);
                let current = zone_state(&simulation, "x");
                if current != last {
                    match current.as_str() {
                        "probation" => probation_began_at = simulation.now,
                        "healthy" if last == "probation" => {
                            recoveries += 1;
                            let probation = simulation.now.since(probation_began_at);
                            probations.push(probation.as_secs().round());
                        }
                        _ => {}
                    }
                    last = current;
                }
            }
        }
    }
    // Ten minutes of 25 s isolated and 25 s connected.
    assert!(
        (1..=2).contains(&recoveries),
        "{recoveries} times healthy: {probations:?}"
    );
    assert!(zone_epoch(&simulation, "x") <= 12);
    let writes = simulation.store.write_count(keys::ZONES);
    assert!(writes < 120);
}

#[test]
fn half_a_zone_or_an_outage_of_cloud_or_store_is_no_lost_zone() {
    let mut simulation = zones(6, ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&desc("j-1", 30));
    simulation.advance(6.0);
    for worker in workers_in(&simulation, "x").into_iter().take(3) {
        simulation.workers[worker].is_isolated = true;
    }
    simulation.cloud.zones_without_capacity.insert("y");
    // The store rejects the controller in z, and then all.
    simulation.controllers[2].faults.is_rejected_by_store = true;
    simulation.advance(15.0);
    simulation.store.is_down = true;
    simulation.advance(8.0);
    simulation.store.is_down = false;
    simulation.controllers[2].faults.is_rejected_by_store = false;
    simulation.advance(30.0);
    for zone in ZONES {
        assert_eq!(zone_epoch(&simulation, zone), 0, "{zone}");
    }
    assert_eq!(
        simulation.running_count(),
        30,
        "on the machines left and added"
    );
    assert!(
        simulation
            .cloud
            .scale_outs
            .iter()
            .all(|added| added.zone != "y")
    );
}

#[test]
fn isolated_observer_gives_no_evidence() {
    let mut simulation = zones(4, ENABLED);
    let owner = simulation.owner();
    // It reaches the machines of one zone only, and neither the store nor its peers.
    simulation.controllers[owner].set_isolated(true);
    for zone in ["y", "z"] {
        simulation.set_zone_isolated(zone, true);
    }
    simulation.advance(10.0);
    for zone in ["y", "z"] {
        simulation.set_zone_isolated(zone, false);
    }
    simulation.advance(30.0);
    assert!(ZONES.iter().all(|zone| zone_epoch(&simulation, zone) == 0));
    assert!(simulation.cloud.released.is_empty());
}
