//! Failback to a zone that is healthy again: stale heartbeats, and running tasks that move.

use super::{
    CONTROLLERS, ENABLED, fill, finish_jobs, running_in, running_outside, workers_in, zone_state,
    zones, zones_with,
};
use crate::controller::tests::simulation::ExitCause;
use crate::jobs::tests::desc;

/// The zone is connected again with machines that still run, or have finished, tasks that have
/// run elsewhere meanwhile.
#[test]
fn stale_heartbeats_of_a_returned_zone_finish_nothing_twice() {
    let mut simulation = zones(4, ENABLED);
    simulation.network.copies_heartbeats = true;
    fill(&mut simulation, ["y", "z"], 8);
    simulation.submit(&desc("j-1", 8));
    simulation.advance(3.0);
    assert_eq!(running_in(&simulation, "x", "j-1/"), 8);
    simulation.exit_all_of("j-9", ExitCause::Done);
    simulation.advance(3.0);
    // The cloud can't release them either: their tasks end by lease expiry.
    simulation.cloud.is_unreachable = true;
    let copies = simulation.network.heartbeat_copies.clone();
    // Paused workers continue their tasks for a moment afterwards.
    for worker in workers_in(&simulation, "x").into_iter().take(2) {
        simulation.workers[worker].is_paused = true;
    }
    simulation.set_zone_isolated("x", true);
    simulation.advance(60.0);
    assert_eq!(running_outside(&simulation, "x", "j-1/"), 8);
    for worker in workers_in(&simulation, "x") {
        simulation.workers[worker].is_paused = false;
    }
    simulation.set_zone_isolated("x", false);
    for (number, copy) in copies.iter().enumerate() {
        simulation.deliver_late_heartbeat(number % CONTROLLERS, copy);
    }
    simulation.advance(10.0);
    for index in 0..8 {
        assert_eq!(simulation.workers_running(&format!("j-1/{index}")).len(), 1);
    }
    simulation.cloud.is_unreachable = false;
    finish_jobs(&mut simulation, &["j-1"]);
}

#[test]
fn running_tasks_return_in_the_window_by_budget_and_gain() {
    let file = format!(
        "{ENABLED}[zone-failover.return]\nmove-running = true\ntasks-per-team = 2\n\
         window = [{{ time-zone = \"Etc/UTC\", from = \"00:04\", to = \"12:00\" }}]\n"
    );
    // Outside of x a task's share of a machine costs twice as much.
    let mut simulation = zones_with(4, &file, |simulation| {
        simulation.cloud.machine_types[1].price *= 2.0;
        for worker in simulation
            .workers
            .iter_mut()
            .filter(|worker| worker.zone != "x")
        {
            worker.machine_type = "big";
        }
    });
    simulation.cloud.is_unreachable = true;
    let mut checkpointing = desc("j-1", 70);
    (
        checkpointing.checkpoint_interval_s,
        checkpointing.estimated_run_time_s,
        checkpointing.deadline_s,
    ) = (5.0, 100_000.0, None);
    simulation.submit(&checkpointing);
    simulation.advance(6.0);
    assert_eq!(running_in(&simulation, "x", "j-1/"), 8);
    simulation.set_zone_isolated("x", true);
    simulation.advance(40.0);
    // Free capacity elsewhere, so that all tasks run there before the zone is healthy.
    for index in 0..20 {
        simulation.finish(&format!("j-1/{index}"));
    }
    simulation.advance(10.0);
    simulation.set_zone_isolated("x", false);
    simulation.advance_until(60.0, |simulation| zone_state(simulation, "x") == "healthy");
    let returned = running_in(&simulation, "x", "j-1/");
    simulation.advance(240.0 - simulation.now.as_secs());
    assert_eq!(
        running_in(&simulation, "x", "j-1/"),
        returned,
        "the window is closed"
    );
    simulation.advance(12.0);
    assert_eq!(
        running_in(&simulation, "x", "j-1/"),
        returned + 2,
        "two at a time"
    );
    simulation.advance(65.0);
    assert_eq!(running_in(&simulation, "x", "j-1/"), returned + 4);
    simulation.cloud.is_unreachable = false;
    finish_jobs(&mut simulation, &["j-1"]);
}
