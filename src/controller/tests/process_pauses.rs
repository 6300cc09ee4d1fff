//! A controller's process is paused while its clock advances.
//!
//! After the pause all heartbeats look overdue, although it was the controller that did not receive
//! them. It must not treat machines as lost for that reason, and must notice that its lease
//! expired.

use super::simulation::{Simulation, secs};
use crate::api::channels::HeartbeatAnswer;
use crate::controller::messages::Input;
use crate::jobs::tests::job_desc;

/// An owner is paused for less than its lease. When it resumes, it must release no machine for
/// heartbeats that were due during the pause. It must also start no task on a machine that has sent
/// no heartbeat since.
#[test]
fn after_a_pause_the_owner_releases_nothing_and_starts_nothing_on_unconfirmed_machines() {
    let mut simulation = Simulation::started(2, 4);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(4.0);
    let owner = simulation.owner();
    simulation.controllers[owner].faults.is_paused = true;
    simulation.advance(14.0);
    simulation.submit(&job_desc("j-2", 4));
    simulation.controllers[owner].faults.is_paused = false;
    // The owner handles the store's changes and the ticks that were due during the pause.
    simulation.deliver_watch_events(owner);
    simulation.handle_input(owner, Input::Tick);
    simulation.handle_input(owner, Input::Tick);
    assert!(
        !simulation.has_started("j-2"),
        "no machine has sent a heartbeat since the pause"
    );
    assert!(simulation.cloud.released.is_empty());
    // The heartbeat timeout of a machine starts anew at the end of the pause.
    simulation.workers[0].next_heartbeat_at = simulation.now + secs(6.0);
    simulation.advance(8.0);
    assert_eq!(
        (simulation.owner(), simulation.cloud.released.len()),
        (owner, 0)
    );
    assert_eq!(
        simulation.running_count(),
        8,
        "the earlier tasks keep running and the new tasks have started"
    );
}

/// An owner is paused until its lease has expired and another controller owns the partition. When
/// it resumes, its state still says that it is the owner, but it must answer no worker and send no
/// command.
#[test]
fn owner_paused_beyond_its_lease_answers_and_commands_no_worker() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&job_desc("j-1", 2));
    simulation.advance(4.0);
    let previous_owner = simulation.owner();
    simulation.controllers[previous_owner].faults.is_paused = true;
    simulation.advance(45.0);
    assert_ne!(simulation.owner(), previous_owner);
    simulation.submit(&job_desc("j-2", 2));
    simulation.controllers[previous_owner].faults.is_paused = false;
    // The previous owner's clock has advanced, but its watch has not received any change yet.
    let answer = simulation.deliver_heartbeat_of(0, previous_owner);
    assert_eq!(answer, Some(HeartbeatAnswer::Unavailable));
    let command_count = simulation.network.delivered_commands.len();
    simulation.handle_input(previous_owner, Input::Tick);
    assert_eq!(
        simulation.network.delivered_commands.len(),
        command_count,
        "the previous owner sends no command"
    );
    simulation.advance(5.0);
    assert_eq!(simulation.running_count(), 4);
}
