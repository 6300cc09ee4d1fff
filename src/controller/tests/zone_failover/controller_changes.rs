//! Zone failover while controllers change: the leader crashes or is isolated, subsystems are
//! disabled, or the stored zone records come from another version.

use super::{
    CONTROLLERS, FAILOVER_ENABLED, finish_jobs, leader, released_in, running_outside, three_zones,
    zone_epoch, zone_state,
};
use crate::controller::tests::simulation::{Simulation, ZONES};
use crate::jobs::tests::job_desc;
use crate::store::{Mutation, keys};
use crate::subsystems::Subsystems;
use serde_json::json;

/// The leader is isolated together with its zone, and a second zone is lost during the evacuation.
/// The next leader must continue. When the third zone is isolated, too, no zone is left to evacuate
/// to, so nothing may be evacuated from it.
#[test]
fn zone_lost_with_the_leader_and_a_second_zone_during_its_evacuation() {
    let mut simulation = three_zones(5, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&job_desc("j-1", 24));
    simulation.advance(6.0);
    let first_leader = leader(&simulation);
    let zone = ZONES[first_leader];
    let next = ZONES[(first_leader + 1) % CONTROLLERS];
    let last = ZONES[(first_leader + 2) % CONTROLLERS];
    let set_leader_isolated = |simulation: &mut Simulation, is_isolated: bool| {
        let controller = &mut simulation.controllers[first_leader];
        controller.set_isolated(is_isolated);
        controller.faults.is_cut_from_workers = is_isolated;
    };
    set_leader_isolated(&mut simulation, true);
    simulation.set_zone_isolated(zone, true);
    simulation.advance_until(90.0, |simulation| zone_state(simulation, zone) == "lost");
    assert_ne!(leader(&simulation), first_leader);
    simulation.set_zone_isolated(next, true);
    simulation.advance_until(60.0, |simulation| zone_state(simulation, next) == "lost");
    // The third zone is isolated, too. It must not be evacuated.
    let released = released_in(&simulation, last).len();
    simulation.set_zone_isolated(last, true);
    simulation.advance(20.0);
    assert_ne!(zone_state(&simulation, last), "lost");
    assert_eq!(released_in(&simulation, last).len(), released);
    set_leader_isolated(&mut simulation, false);
    for zone in ZONES {
        simulation.set_zone_isolated(zone, false);
    }
    finish_jobs(&mut simulation, &["j-1"]);
}

/// The leader crashes at a different step of the failover in each round. The next leader must
/// continue from the stored record: the zone may be declared lost once more at most, and every job
/// must finish.
#[test]
fn leader_crash_at_every_step_continues_from_the_record() {
    let file = format!("{FAILOVER_ENABLED}[zone-failover.waves]\nmachines = 1\ntasks = 2\n");
    for step in 0..16 {
        let mut simulation = three_zones(3, &file);
        simulation.cloud.has_capacity = true;
        simulation.submit(&job_desc("j-1", 14));
        simulation.advance(5.0);
        simulation.set_zone_isolated("x", true);
        simulation.advance(2.0 + 2.0 * f64::from(step));
        let first_leader = leader(&simulation);
        let earlier_epoch = zone_epoch(&simulation, "x");
        simulation.crash_controller(first_leader);
        // The controller restarts immediately, or only after its lease has expired.
        simulation.advance(if step % 2 == 0 { 0.3 } else { 25.0 });
        simulation.start_controller(first_leader);
        simulation.advance(6.0);
        if step % 3 == 0 {
            simulation.store.is_down = true;
            simulation.advance(8.0);
            simulation.store.is_down = false;
        }
        simulation.set_zone_isolated("x", false);
        finish_jobs(&mut simulation, &["j-1"]);
        // Controllers probe whether the zone is healthy again only while tasks are pending.
        simulation.task_duration = None;
        simulation.submit(&job_desc("j-2", 100));
        simulation.advance_until(120.0, |simulation| zone_state(simulation, "x") == "healthy");
        assert!(
            zone_epoch(&simulation, "x") <= earlier_epoch + 1,
            "step {step}: zone epoch rose from {earlier_epoch} to {}",
            zone_epoch(&simulation, "x")
        );
    }
}

/// A stored zone record may be unreadable or of a newer version. Neither may close a zone, and jobs
/// must run outside of the isolated zone with or without zone failover.
#[test]
fn damaged_or_newer_zone_record_closes_no_zone() {
    for value in [
        json!({"version": 1, "leader": "?"}),
        json!(7),
        json!({"version": 9}),
    ] {
        let mut simulation = three_zones(4, FAILOVER_ENABLED);
        simulation.cloud.has_capacity = true;
        let set = Mutation::put(keys::ZONES.into(), &value);
        simulation.store.commit(vec![set]);
        simulation.submit(&job_desc("j-1", 20));
        simulation.advance(6.0);
        simulation.set_zone_isolated("x", true);
        simulation.advance(50.0);
        let is_kept = *simulation.store.value(keys::ZONES) == value;
        // A record of a newer version is kept. A record that cannot be read is replaced.
        assert_eq!(is_kept, value == json!({"version": 9}));
        assert_eq!(
            running_outside(&simulation, "x", "j-1/"),
            20,
            "all tasks run outside of the isolated zone, whatever record is stored"
        );
        simulation.set_zone_isolated("x", false);
        finish_jobs(&mut simulation, &["j-1"]);
    }
}

/// While zone failover is disabled, no zone record may be written. If it is disabled during an
/// evacuation, controllers with and without it run at the same time, and all jobs must still end.
#[test]
fn disabled_failover_writes_nothing_and_disabling_it_ends_an_evacuation() {
    let mut disabled = three_zones(3, "");
    disabled.cloud.has_capacity = true;
    disabled.set_zone_isolated("x", true);
    disabled.advance(30.0);
    assert!(!disabled.store.keys.contains_key(keys::ZONES));
    let mut simulation = three_zones(
        4,
        &format!("{FAILOVER_ENABLED}[zone-failover.waves]\nmachines = 1\n"),
    );
    simulation.cloud.has_capacity = true;
    simulation.submit(&job_desc("j-1", 22));
    simulation.advance(6.0);
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(20.0, |simulation| zone_state(simulation, "x") == "lost");
    // The controllers restart one by one. Between two restarts, zone failover is enabled at some
    // controllers only.
    for controller in 0..CONTROLLERS {
        simulation.controllers[controller].subsystems = Subsystems::default();
        simulation.restart_controller(controller);
        simulation.advance(4.0);
    }
    simulation.set_zone_isolated("x", false);
    simulation.submit(&job_desc("j-2", 8));
    finish_jobs(&mut simulation, &["j-1", "j-2"]);
}

/// A leader without zone failover does not update the record of a lost zone. The record must not
/// keep the zone closed: jobs that need its capacity must end.
#[test]
fn leader_without_zone_failover_leaves_no_zone_closed() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(30.0, |simulation| zone_state(simulation, "x") == "lost");
    let first_leader = leader(&simulation);
    let owner = simulation.owner();
    for controller in (0..CONTROLLERS).filter(|controller| *controller != owner) {
        simulation.controllers[controller].subsystems = Subsystems::default();
        simulation.restart_controller(controller);
    }
    simulation.crash_controller(first_leader);
    simulation.advance(30.0);
    simulation.set_zone_isolated("x", false);
    simulation.advance(20.0);
    assert_eq!(
        zone_state(&simulation, "x"),
        "lost",
        "the record is unchanged"
    );
    simulation.submit(&job_desc("j-1", 22));
    finish_jobs(&mut simulation, &["j-1"]);
}
