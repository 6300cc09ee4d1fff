//! Evacuation of a lost zone: the order and the size of its waves, and where displaced tasks
//! start again.

use super::{
    FAILOVER_ENABLED, evacuation_wave, fill_zones, finish_jobs, first_attempt_outside, released_in,
    running_in, running_outside, three_zones, zone_epoch, zone_state,
};
use crate::controller::tests::simulation::{ExitCause, Simulation, ZONES};
use crate::jobs::Priority;
use crate::jobs::tests::job_desc;
use std::collections::BTreeMap;

/// The regular course of a failover: an isolated zone becomes suspect and then lost, and its tasks
/// start in the other zones. After the reconnection it is on probation and then healthy.
#[test]
fn lost_zone_is_evacuated_and_becomes_healthy_again() {
    let mut simulation = three_zones(6, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    simulation.submit(&job_desc("j-1", 30));
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), 30);
    assert!(running_in(&simulation, "x", "j-1/") > 0);
    simulation.set_zone_isolated("x", true);
    simulation.advance_until(14.0, |simulation| zone_state(simulation, "x") == "suspect");
    assert!(
        released_in(&simulation, "x").is_empty(),
        "no machine is released while the zone is only suspect"
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
    // After the reconnection the zone is first on probation and then healthy.
    simulation.set_zone_isolated("x", false);
    simulation.submit(&job_desc("j-2", 400));
    simulation.advance_until(60.0, |simulation| {
        zone_state(simulation, "x") == "probation"
    });
    simulation.advance_until(30.0, |simulation| zone_state(simulation, "x") == "healthy");
    finish_jobs(&mut simulation, &["j-1", "j-2"]);
    assert_eq!(zone_epoch(&simulation, "x"), 1);
}

/// An evacuation of a whole zone at once would overload the other zones. Each wave releases at most
/// the configured number of machines, and jobs follow in the order of the evacuation priority.
#[test]
fn waves_are_bounded_and_follow_the_evacuation_priority() {
    let file = format!(
        "{FAILOVER_ENABLED}evacuation-priority = 'if class == \"train\" then due_s else 0'\n\
         [zone-failover.waves]\nmachines = 2\ntasks = 4\n"
    );
    let mut simulation = three_zones(8, &file);
    let ids = ["j-1", "j-2", "j-3", "j-4"];
    let deadlines = [5_000.0, 8_000.0, 6_000.0, 7_000.0];
    fill_zones(&mut simulation, ["y", "z"], 16);
    for (id, deadline) in ids.iter().zip(deadlines) {
        let mut job = job_desc(id, 4);
        (job.deadline_s, job.priority) = (Some(deadline), Priority::Standard);
        simulation.submit(&job);
    }
    simulation.advance(3.0);
    simulation.exit_all_of("j-9", ExitCause::Done);
    simulation.advance(3.0);
    assert_eq!(
        running_in(&simulation, "x", "j-"),
        16,
        "not all tasks run in x"
    );
    simulation.set_zone_isolated("x", true);
    // The ids of attempts rise in the order in which the owner decides to start them.
    let mut first_attempts: BTreeMap<u64, &str> = BTreeMap::new();
    for _ in 0..250 {
        simulation.advance(0.1);
        let released = released_in(&simulation, "x").len() as u64;
        assert!(
            released <= 2 * evacuation_wave(&simulation, "x"),
            "{released} machines released in {} waves",
            evacuation_wave(&simulation, "x")
        );
        for id in ids {
            let elsewhere = running_outside(&simulation, "x", &format!("{id}/"));
            if elsewhere > 0 && !first_attempts.values().any(|known| *known == id) {
                let first = first_attempt_outside(&simulation, "x", &format!("{id}/"));
                first_attempts.insert(first.expect("a task runs there"), id);
            }
        }
    }
    let order: Vec<&str> = first_attempts.into_values().collect();
    assert_eq!(order, ["j-2", "j-4", "j-3", "j-1"]);
    assert_eq!(
        (
            zone_epoch(&simulation, "x"),
            evacuation_wave(&simulation, "x")
        ),
        (1, 4),
        "zone epoch and number of waves: no wave starts without displaced tasks"
    );
    finish_jobs(&mut simulation, &ids);
}

/// A wave must add machines only for its own displaced tasks, not for tasks of later waves. This
/// must also hold when the owner crashes at the start of the isolation: the next owner has received
/// no heartbeat from the zone's machines.
#[test]
fn each_wave_scales_out_for_its_displaced_tasks_only() {
    let file = format!("{FAILOVER_ENABLED}[zone-failover.waves]\ntasks = 2\ninterval = \"30s\"\n");
    for crashes_owner in [false, true] {
        let mut simulation = three_zones(4, &file);
        simulation.cloud.has_capacity = true;
        fill_zones(&mut simulation, ["y", "z"], 8);
        for number in 1..5 {
            simulation.submit(&job_desc(&format!("j-{number}"), 2));
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
                "{added} machines added for the two tasks of a wave"
            );
            // One machine has capacity for the tasks of a wave, and another one may be booting.
            assert!(
                added <= 2 * wave,
                "{added} machines added in {wave} waves at {:?}, owner crashed: {crashes_owner}",
                simulation.now
            );
        }
        assert!(added_machines(&simulation) > 0 && evacuation_wave(&simulation, "x") > 1);
        finish_jobs(&mut simulation, &["j-1", "j-2", "j-3", "j-4"]);
    }
}

/// Displaced tasks get free capacity by evacuation priority, not by deadline: the job with more
/// tasks comes first here, although the other job has the nearer deadline.
#[test]
fn displaced_tasks_take_free_capacity_by_evacuation_priority() {
    let mut simulation = three_zones(
        4,
        &format!("{FAILOVER_ENABLED}evacuation-priority = 'tasks'\n"),
    );
    fill_zones(&mut simulation, ["y", "z"], 8);
    for (id, tasks, deadline) in [("j-1", 3, 60.0), ("j-2", 5, 6_000.0)] {
        let mut job = job_desc(id, tasks);
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

/// A single-zone job that is evacuated must start again in one zone, and an anti-affinity job must
/// still be spread. A job that is cancelled while its zone is isolated must not start again.
#[test]
fn single_zone_and_anti_affinity_jobs_move_whole_and_a_cancellation_holds() {
    let mut simulation = three_zones(5, FAILOVER_ENABLED);
    simulation.cloud.has_capacity = true;
    let mut single_zone = job_desc("j-1", 6);
    single_zone.single_zone = true;
    let mut anti_affinity = job_desc("j-2", 6);
    anti_affinity.anti_affinity = true;
    for job in [&single_zone, &anti_affinity, &job_desc("j-3", 8)] {
        simulation.submit(job);
    }
    simulation.advance(6.0);
    let lost = ZONES
        .into_iter()
        .find(|zone| running_in(&simulation, zone, "j-1/") > 0)
        .expect("j-1 runs in a zone");
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
