//! Leases of controllers: whoever can't renew its lease steps down in time.

use super::simulation::Simulation;
use crate::api::ports::HeartbeatAnswer;
use crate::jobs::tests::desc;

#[test]
fn owner_with_an_expired_lease_answers_no_heartbeat_and_starts_nothing() {
    let mut simulation = Simulation::started(1, 1);
    simulation.store.is_down = true;
    simulation.advance(10.0);
    let answer = simulation.deliver_heartbeat_of(0, 0);
    assert!(
        matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "an outage shorter than the lease"
    );
    simulation.advance(15.0);
    assert_eq!(
        simulation.deliver_heartbeat_of(0, 0),
        Some(HeartbeatAnswer::Unavailable)
    );
    // The store is up again; the owner continues under the same lease or a new one.
    simulation.store.is_down = false;
    simulation.advance(5.0);
    simulation.submit(&desc("j-1", 1));
    simulation.advance(4.0);
    assert_eq!(simulation.running_count(), 1);
}

#[test]
fn controller_isolated_with_its_workers_steps_down_in_time_and_recovers() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    let isolated = simulation.owner();
    assert!(simulation.controllers[isolated].view.healthy);
    simulation.controllers[isolated].set_isolated(true);
    simulation.advance(10.0);
    assert!(
        !simulation.controllers[isolated].view.healthy,
        "load balancers are to route users elsewhere"
    );
    simulation.advance(12.0);
    let heartbeat = simulation.workers[0].heartbeat();
    assert_eq!(
        simulation.deliver_late_heartbeat(isolated, &heartbeat),
        Some(HeartbeatAnswer::Unavailable),
        "its lease has expired"
    );
    let owner = simulation.owner();
    assert_ne!(owner, isolated);
    simulation.advance(6.0);
    assert!(
        simulation
            .workers
            .iter()
            .all(|worker| worker.controller == Some(owner))
    );
    assert_eq!(simulation.running_count(), 4, "and nothing was lost");
    simulation.controllers[isolated].set_isolated(false);
    simulation.advance(3.0);
    assert!(simulation.controllers[isolated].view.healthy);
    simulation.crash_controller(owner);
    simulation.submit(&desc("j-2", 2));
    simulation.advance(30.0);
    assert_eq!(
        simulation.workers_running("j-2/0").len(),
        1,
        "it serves again"
    );
}
