//! Detection of lost zones: which observations are evidence of a loss, which are not, and how
//! flapping is damped.

use super::{FAILOVER_ENABLED, three_zones, workers_in, zone_epoch, zone_state};
use crate::controller::tests::simulation::{Simulation, ZONES};
use crate::jobs::tests::job_desc;
use crate::store::keys;

/// Evacuating a zone for a short isolation would restart its tasks without need. An isolation
/// shorter than the time until a zone is lost must not move a task or add or release a machine.
#[test]
fn short_isolation_and_fast_flapping_move_nothing() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&job_desc("j-1", 20));
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
    assert_eq!(
        placements(&simulation),
        first,
        "every task runs on the same machine as before"
    );
}

/// Each change of a zone's state and each evacuation wave is a write to the store. A zone that
/// flaps for minutes must not use up the store's write rate.
#[test]
fn zone_that_flaps_for_minutes_is_damped() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    // The cloud cannot release the zone's machines, so they keep flapping.
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
    // The zone alternated between 25 s of isolation and 25 s of connection for ten minutes.
    assert!(
        (1..=2).contains(&recoveries),
        "zone became healthy {recoveries} times, after probations of {probations:?} s"
    );
    assert!(zone_epoch(&simulation, "x") <= 12);
    let writes = simulation.store.write_count(keys::ZONES);
    assert!(writes < 120);
}

/// Half of a zone's machines, the cloud's capacity in a zone, or the store may fail while the zone
/// itself works. None of these faults is evidence that a zone is lost.
#[test]
fn half_a_zone_or_an_outage_of_cloud_or_store_is_no_lost_zone() {
    let mut simulation = three_zones(6, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&job_desc("j-1", 30));
    simulation.advance(6.0);
    for worker in workers_in(&simulation, "x").into_iter().take(3) {
        simulation.workers[worker].is_isolated = true;
    }
    simulation.cloud.zones_without_capacity.insert("y");
    // The store rejects first the controller in z and then all controllers.
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
        "all tasks run on the remaining and the added machines"
    );
    assert!(
        simulation
            .cloud
            .scale_outs
            .iter()
            .all(|added| added.zone != "y")
    );
}

/// A controller that is isolated itself receives no heartbeats from other zones. It must not
/// conclude that those zones are lost.
#[test]
fn isolated_controller_gives_no_evidence_of_lost_zones() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    let owner = simulation.owner();
    // The owner reaches only the machines of zone x, and neither the store nor its peers.
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
