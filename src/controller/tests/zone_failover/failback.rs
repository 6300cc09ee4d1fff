//! Failback to a zone that is healthy again: stale heartbeats from it, and running tasks that move
//! back.

use super::{
    CONTROLLERS, FAILOVER_ENABLED, fill_zones, finish_jobs, running_in, running_outside,
    three_zones, three_zones_with, workers_in, zone_state,
};
use crate::controller::tests::simulation::ExitCause;
use crate::jobs::tests::job_desc;

/// A zone is reconnected whose machines still run, or have finished, tasks that were started
/// elsewhere during the isolation. Heartbeats from these machines must not finish a task twice or
/// leave it running on two machines.
#[test]
fn stale_heartbeats_of_a_returned_zone_finish_nothing_twice() {
    let mut simulation = three_zones(4, FAILOVER_ENABLED);
    simulation.network.copies_heartbeats = true;
    fill_zones(&mut simulation, ["y", "z"], 8);
    simulation.submit(&job_desc("j-1", 8));
    simulation.advance(3.0);
    assert_eq!(running_in(&simulation, "x", "j-1/"), 8);
    simulation.exit_all_of("j-9", ExitCause::Done);
    simulation.advance(3.0);
    // The cloud cannot release the machines, so their tasks end only when the worker leases expire.
    simulation.cloud.is_unreachable = true;
    let copies = simulation.network.heartbeat_copies.clone();
    // Paused workers still have their tasks when they resume, until they handle the expired lease.
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

/// Running tasks move back to a returned zone only inside the configured time window, only if the
/// lower price there outweighs the cost of the move, and within the budget of each team.
#[test]
fn running_tasks_return_in_the_window_by_budget_and_gain() {
    let file = format!(
        "{FAILOVER_ENABLED}[zone-failover.return]\nmove-running = true\ntasks-per-team = 2\n\
         window = [{{ time-zone = \"Etc/UTC\", from = \"00:04\", to = \"12:00\" }}]\n"
    );
    // Outside of x, a task's share of a machine's price is twice as high.
    let mut simulation = three_zones_with(4, &file, |simulation| {
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
    let mut checkpointing = job_desc("j-1", 70);
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
    // Some tasks end, which frees capacity outside of x: all displaced tasks run there before x is
    // healthy.
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
        "no task moves while the window is closed"
    );
    simulation.advance(12.0);
    assert_eq!(
        running_in(&simulation, "x", "j-1/"),
        returned + 2,
        "two tasks move at a time"
    );
    simulation.advance(65.0);
    assert_eq!(running_in(&simulation, "x", "j-1/"), returned + 4);
    simulation.cloud.is_unreachable = false;
    finish_jobs(&mut simulation, &["j-1"]);
}
