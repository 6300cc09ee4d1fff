//! Evacuation of a lost zone: waves, their order and their bounds, and where displaced tasks
//! go.

use super::{
    ENABLED, evacuation_wave, fill, finish_jobs, released_in, running_in, running_outside,
    zone_epoch, zone_state, zones,
};
use crate::controller::tests::simulation::{ExitCause, Simulation, ZONES};
use crate::jobs::Priority;
use crate::jobs::tests::desc;

#[test]
fn lost_zone_is_evacuated_and_becomes_healthy_again() {
    let mut simulation = zones(6, ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&desc("j-1", 30));
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), 30);
    assert!(running_in(&simulation, "x", "j-1/") > 0);
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(14.0, |simulation| zone_state(simulation, "x") == "suspect");
    assert!(
        released_in(&simulation, "x").is_empty(),
        "kept while it is only suspect"
    );
    simulation.advance_until(6.0, |simulation| zone_state(simulation, "x") == "lost");
    simulation.advance_until(30.0, |simulation| {
        running_outside(simulation, "x", "j-1/") == 30
    });
    assert!(
        simulation
            .cloud
            .scale_outs
            .iter()
            .all(|added| added.zone != "x"),
        "{:?}",
        simulation.cloud.scale_outs
    );
    // Connected again: on probation first, then healthy.
    simulation.set_zone_isolated("x", false);
    simulation.submit(&desc("j-2", 400));
    simulation.advance_until(60.0, |simulation| {
        zone_state(simulation, "x") == "probation"
    });
    simulation.advance_until(30.0, |simulation| zone_state(simulation, "x") == "healthy");
    finish_jobs(&mut simulation, &["j-1", "j-2"]);
    assert_eq!(zone_epoch(&simulation, "x"), 1);
}

#[test]
fn waves_are_bounded_and_follow_the_evacuation_priority() {
    let file = format!(
        "{ENABLED}evacuation-priority = 'if class == \"train\" then due_s else 0'\n\
         [zone-failover.waves]\nmachines = 2\ntasks = 4\n"
    );
    let mut simulation = zones(8, &file);
    let ids = ["j-1", "j-2", "j-3", "j-4"];
    let deadlines = [5_000.0, 8_000.0, 6_000.0, 7_000.0];
    fill(&mut simulation, ["y", "z"], 16);
    for (id, deadline) in ids.iter().zip(deadlines) {
        let mut job = desc(id, 4);
        (job.deadline_s, job.priority) = (Some(deadline), Priority::Standard);
        simulation.submit(&job);
    }
    simulation.advance(3.0);
    simulation.exit_all_of("j-9", ExitCause::Done);
    simulation.advance(3.0);
    assert_eq!(running_in(&simulation, "x", "j-"), 16, "all tasks run in x");
    simulation.set_zone_isolated("x", true);
    let mut order: Vec<&str> = Vec::new();
    for _ in 0..250 {
        simulation.advance(0.1);
        let released = released_in(&simulation, "x").len() as u64;
        assert!(
            released <= 2 * evacuation_wave(&simulation, "x"),
            "{released} in {} waves",
            evacuation_wave(&simulation, "x")
        );
        for id in ids {
            let elsewhere = running_outside(&simulation, "x", &format!("{id}/"));
            if elsewhere > 0 && !order.contains(&id) {
                order.push(id);
            }
        }
    }
    assert_eq!(order, ["j-2", "j-4", "j-3", "j-1"]);
    assert_eq!(
        (
            zone_epoch(&simulation, "x"),
            evacuation_wave(&simulation, "x")
        ),
        (1, 4),
        "no wave begins without need"
    );
    finish_jobs(&mut simulation, &ids);
}

/// Also when the owner crashes with the isolation, and the next one has no heartbeat of the
/// machines.
#[test]
fn each_wave_scales_out_for_its_displaced_tasks_only() {
    let file = format!("{ENABLED}[zone-failover.waves]\ntasks = 2\ninterval = \"30s\"\n");
    for crashes_owner in [false, true] {
        let mut simulation = zones(4, &file);
        simulation.cloud.has_capacity = true;
        fill(&mut simulation, ["y", "z"], 8);
        for number in 1..5 {
            simulation.submit(&desc(&format!("j-{number}"), 2));
        }
        simulation.advance(3.0);
        assert_eq!(running_in(&simulation, "x", "j-"), 8);
        let earlier = simulation.cloud.scale_outs.len();
        let added_machines = |simulation: &Simulation| -> u32 {
            let scale_outs = &simulation.cloud.scale_outs[earlier..];
            scale_outs.iter().map(|added| added.count).sum()
        };
        simulation.set_zone_isolated("x", true);
        if crashes_owner {
            simulation.crash_owner();
        }
        for _ in 0..800 {
            simulation.advance(0.1);
            let added = u64::from(added_machines(&simulation));
            let wave = evacuation_wave(&simulation, "x");
            assert!(
                crashes_owner || wave > 1 || added <= 1,
                "{added} for the two tasks of a wave"
            );
            // One machine has capacity for a wave, and one more may be booting.
            assert!(added <= 2 * wave, "{crashes_owner} {:?}", simulation.now);
        }
        assert!(added_machines(&simulation) > 0 && evacuation_wave(&simulation, "x") > 1);
        finish_jobs(&mut simulation, &["j-1", "j-2", "j-3", "j-4"]);
    }
}

#[test]
fn displaced_tasks_take_free_capacity_by_evacuation_priority() {
    let mut simulation = zones(4, &format!("{ENABLED}evacuation-priority = 'tasks'\n"));
    fill(&mut simulation, ["y", "z"], 8);
    for (id, tasks, deadline) in [("j-1", 3, 60.0), ("j-2", 5, 6_000.0)] {
        let mut job = desc(id, tasks);
        job.deadline_s = Some(deadline);
        simulation.submit(&job);
    }
    simulation.advance(3.0);
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(30.0, |simulation| released_in(simulation, "x").len() == 4);
    simulation.finish("j-90/0");
    simulation.advance(5.0);
    assert_eq!(
        (
            running_in(&simulation, "y", "j-1/"),
            running_in(&simulation, "y", "j-2/")
        ),
        (0, 1)
    );
}

#[test]
fn single_zone_and_anti_affinity_jobs_move_whole_and_a_cancellation_holds() {
    let mut simulation = zones(5, ENABLED);
    simulation.cloud.has_capacity = true;
    let mut single_zone = desc("j-1", 6);
    single_zone.single_zone = true;
    let mut anti_affinity = desc("j-2", 6);
    anti_affinity.anti_affinity = true;
    for job in [&single_zone, &anti_affinity, &desc("j-3", 8)] {
        simulation.submit(job);
    }
    simulation.advance(6.0);
    let lost = ZONES
        .into_iter()
        .find(|zone| running_in(&simulation, zone, "j-1/") > 0)
        .expect("it runs");
    simulation.set_zone_isolated(lost, true);
    simulation.advance(3.0);
    simulation.cancel("j-3");
    simulation.advance_until(20.0, |simulation| zone_state(simulation, lost) == "lost");
    simulation.advance(simulation.cancel_timeout_s());
    assert_eq!(running_in(&simulation, lost, "j-"), 0);
    let elsewhere = ZONES
        .into_iter()
        .filter(|zone| running_in(&simulation, zone, "j-1/") > 0);
    assert_eq!(elsewhere.count(), 1);
    finish_jobs(&mut simulation, &["j-1", "j-2"]);
}
