//! Leases of controllers: a controller that cannot renew its lease stops acting as owner before
//! another controller takes over.

use super::simulation::Simulation;
use crate::api::channels::HeartbeatAnswer;
use crate::jobs::tests::job_desc;

/// An owner cannot renew its lease during an outage of the store. It must answer heartbeats until
/// the lease expires, and none afterwards.
#[test]
fn owner_with_an_expired_lease_answers_no_heartbeat_and_starts_nothing() {
    let mut simulation = Simulation::started(1, 1);
    simulation.store.is_down = true;
    simulation.advance(10.0);
    let answer = simulation.deliver_heartbeat_of(0, 0);
    assert!(
        matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "the owner answers while its lease is valid"
    );
    simulation.advance(15.0);
    assert_eq!(
        simulation.deliver_heartbeat_of(0, 0),
        Some(HeartbeatAnswer::Unavailable)
    );
    // After the outage the owner continues with the same lease or with a new one.
    simulation.store.is_down = false;
    simulation.advance(5.0);
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(4.0);
    assert_eq!(simulation.running_count(), 1);
}

/// An owner is isolated from the store and its peers, but still reached by its workers. If it kept
/// answering them after its lease expired, they would have two owners. It must also become
/// unhealthy, and must serve again after the isolation.
#[test]
fn controller_isolated_with_its_workers_steps_down_in_time_and_recovers() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let isolated = simulation.owner();
    assert!(simulation.controllers[isolated].view.healthy);
    simulation.controllers[isolated].set_isolated(true);
    simulation.advance(10.0);
    assert!(
        !simulation.controllers[isolated].view.healthy,
        "the isolated controller is unhealthy, so load balancers route users elsewhere"
    );
    simulation.advance(12.0);
    let heartbeat = simulation.workers[0].heartbeat();
    assert_eq!(
        simulation.deliver_late_heartbeat(isolated, &heartbeat),
        Some(HeartbeatAnswer::Unavailable),
        "the isolated controller's lease has expired"
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
    assert_eq!(simulation.running_count(), 4, "all tasks keep running");
    simulation.controllers[isolated].set_isolated(false);
    simulation.advance(3.0);
    assert!(simulation.controllers[isolated].view.healthy);
    simulation.crash_controller(owner);
    simulation.submit(&job_desc("j-2", 2));
    simulation.advance(30.0);
    assert_eq!(
        simulation.workers_running("j-2/0").len(),
        1,
        "a controller takes over after the second owner crashed"
    );
}
