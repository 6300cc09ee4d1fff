//! Capacity while a zone is lost or closed: which jobs wait, which jobs start first, and where
//! machines are added.

use super::{
    FAILOVER_ENABLED, fill_zones, finish_jobs, running_in, running_outside, three_zones, zone_state,
};
use crate::controller::tests::simulation::ZONES;
use crate::jobs::Priority;
use crate::jobs::tests::job_desc;
use crate::store::keys;

/// Work must not start in a closed zone while other zones may get free capacity. It must not wait
/// for ever, either: after the time `patience`, a job that is not bound to a zone may use machines
/// of the closed zone whose heartbeats arrive.
#[test]
fn job_without_a_zone_avoids_a_closed_zone_until_it_has_waited() {
    let declared_out = "[[zone-failover.declared]]\nzone = \"x\"\nstate = \"out\"\n";
    let mut simulation = three_zones(4, &format!("{FAILOVER_ENABLED}{declared_out}"));
    fill_zones(&mut simulation, ["y", "z"], 8);
    let mut zone_bound = job_desc("j-2", 2);
    zone_bound.zone = Some("x".into());
    simulation.submit(&zone_bound);
    simulation.submit(&job_desc("j-1", 2));
    simulation.advance(20.0);
    assert_eq!(
        (
            running_in(&simulation, "x", "j-2/"),
            running_in(&simulation, "x", "j-1/")
        ),
        (2, 0)
    );
    simulation.advance(15.0);
    assert_eq!(
        running_in(&simulation, "x", "j-1/"),
        2,
        "machines of the closed zone send heartbeats, and no other zone has free capacity"
    );
}

/// Machines that boot in a lost zone may never send a heartbeat. Displaced tasks would not get
/// capacity elsewhere if the autoscaler still counted these machines as future capacity.
#[test]
fn machines_booting_in_a_lost_zone_are_not_awaited() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.cloud.zones_without_capacity.extend(["y", "z"]);
    simulation.submit(&job_desc("j-1", 40));
    simulation.advance_until(20.0, |simulation| !simulation.cloud.scale_outs.is_empty());
    simulation.set_zone_isolated("x", true);
    for worker in &mut simulation.workers[12..] {
        worker.is_isolated = true;
        let booting_since = &mut simulation.cloud.booting_since;
        booting_since.insert(worker.id.clone(), simulation.now);
    }
    simulation.advance_until(20.0, |simulation| zone_state(simulation, "x") == "lost");
    simulation.cloud.zones_without_capacity.clear();
    simulation.advance_until(60.0, |simulation| {
        running_outside(simulation, "x", "j-1/") == 40
    });
}

/// Evacuated tasks of low priority and an urgent job compete for the two zones that are left, since
/// the fleet is full and the cloud adds nothing. The urgent job must not wait for the evacuation.
#[test]
fn urgent_job_goes_before_evacuated_tasks() {
    let file = format!("{FAILOVER_ENABLED}evacuation-priority = 'tasks'\n");
    let mut simulation = three_zones(4, &file);
    simulation.cloud.zones_without_capacity.extend(ZONES);
    let mut low = job_desc("j-1", 24);
    (low.priority, low.deadline_s, low.checkpoint_interval_s) = (Priority::Idle, None, 5.0);
    low.estimated_run_time_s = 1_000.0;
    simulation.submit(&low);
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), 24, "the fleet is full");
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(20.0, |simulation| zone_state(simulation, "x") == "lost");
    let mut urgent = job_desc("j-2", 8);
    (urgent.priority, urgent.deadline_s) = (Priority::Production, Some(15.0));
    simulation.submit(&urgent);
    simulation.advance(10.0);
    assert_eq!(running_outside(&simulation, "x", "j-2/"), 8);
}

/// Machines added in a lost zone are paid for but can run nothing. Without capacity elsewhere, jobs
/// wait until the zone is healthy again, and no machine is added for a job bound to the lost zone.
#[test]
fn without_capacity_elsewhere_jobs_wait_and_zone_bound_jobs_scale_nothing_out() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.cloud.zones_without_capacity.extend(["y", "z"]);
    simulation.submit(&job_desc("j-1", 24));
    let mut zone_bound = job_desc("j-2", 4);
    zone_bound.zone = Some("x".into());
    simulation.submit(&zone_bound);
    simulation.advance(6.0);
    let scale_outs = simulation.cloud.scale_outs.len();
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(20.0, |simulation| zone_state(simulation, "x") == "lost");
    simulation.advance(14.0);
    assert_eq!(
        simulation.cloud.scale_outs.len(),
        scale_outs,
        "no machine is added, not even for a job that is bound to the lost zone"
    );
    assert_eq!(
        simulation
            .ended_state("j-1")
            .or(simulation.ended_state("j-2")),
        None
    );
    simulation.set_zone_isolated("x", false);
    finish_jobs(&mut simulation, &["j-1", "j-2"]);
}

/// A third of four thousand machines is isolated at once. The evacuation must not use up the
/// store's write rate: the zone records may be written 40 times at most.
#[test]
fn evacuation_of_a_third_of_four_thousand_machines_spends_few_writes() {
    let mut simulation = three_zones(
        1_334,
        &format!("{FAILOVER_ENABLED}[zone-failover.waves]\nmachines = 200\ntasks = 2000\n"),
    );
    simulation.submit(&job_desc("j-1", 6_000));
    simulation.advance(8.0);
    assert_eq!(simulation.running_count(), 6_000);
    let mutations = simulation.store.mutation_count;
    let comparisons = simulation.machines_compared();
    simulation.set_zone_isolated("x", true);
    simulation.advance(30.0);
    let zone_writes = simulation.store.write_count(keys::ZONES);
    println!(
        "store mutations {}, writes of zone records {zone_writes}, machines compared {}",
        simulation.store.mutation_count - mutations,
        simulation.machines_compared() - comparisons
    );
    assert_eq!(zone_state(&simulation, "x"), "lost");
    assert!(zone_writes <= 40);
    assert_eq!(running_outside(&simulation, "x", "j-1/"), 5_336);
    simulation.set_zone_isolated("x", false);
    finish_jobs(&mut simulation, &["j-1"]);
}
