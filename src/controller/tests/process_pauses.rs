//! A controller's process that is paused while its clock runs on: it decides nothing from a
//! silence that was its own.

use super::simulation::{Simulation, secs};
use crate::api::ports::HeartbeatAnswer;
use crate::controller::messages::Input;
use crate::jobs::tests::desc;

#[test]
fn after_a_pause_the_owner_releases_nothing_and_starts_nothing_on_unconfirmed_machines() {
    let mut simulation = Simulation::started(2, 4);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(4.0);
    let owner = simulation.owner();
    simulation.controllers[owner].faults.is_paused = true;
    simulation.advance(14.0);
    simulation.submit(&desc("j-2", 4));
    simulation.controllers[owner].faults.is_paused = false;
    // The changes and the ticks that were due during the pause are handled.
    simulation.deliver_watch_events(owner);
    simulation.handle_input(owner, Input::Tick);
    simulation.handle_input(owner, Input::Tick);
    assert!(
        !simulation.has_started("j-2"),
        "no machine has sent a heartbeat since"
    );
    assert!(simulation.cloud.released.is_empty());
    // A machine that is silent after the pause has its full timeout from then on.
    simulation.workers[0].next_heartbeat_at = simulation.now + secs(6.0);
    simulation.advance(8.0);
    assert_eq!(
        (simulation.owner(), simulation.cloud.released.len()),
        (owner, 0)
    );
    assert_eq!(
        simulation.running_count(),
        8,
        "the running tasks keep running"
    );
}

#[test]
fn pause_beyond_the_lease_leaves_no_command_behind() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&desc("j-1", 2));
    simulation.advance(4.0);
    let previous_owner = simulation.owner();
    simulation.controllers[previous_owner].faults.is_paused = true;
    simulation.advance(45.0);
    assert_ne!(simulation.owner(), previous_owner);
    simulation.submit(&desc("j-2", 2));
    simulation.controllers[previous_owner].faults.is_paused = false;
    // Its clock has advanced and its watch has not: it answers no worker.
    let answer = simulation.deliver_heartbeat_of(0, previous_owner);
    assert_eq!(answer, Some(HeartbeatAnswer::Unavailable));
    let command_count = simulation.network.delivered_commands.len();
    simulation.handle_input(previous_owner, Input::Tick);
    assert_eq!(
        simulation.network.delivered_commands.len(),
        command_count,
        "nor does it send a command"
    );
    simulation.advance(5.0);
    assert_eq!(simulation.running_count(), 4);
}
