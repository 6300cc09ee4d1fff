//! Cancellations: the tasks of a cancelled job end within the cancel timeout, and none starts
//! afterwards. This must also hold while links are cut, or while the store rejects a controller or
//! is down.

use super::simulation::Simulation;
use crate::controller::messages::Input;
use crate::ids::Revision;
use crate::jobs::tests::job_desc;
use crate::mesh::Message;

/// The direct command that launches a task is delayed until the job has been cancelled. It must not
/// start the task.
#[test]
fn cancelled_job_is_never_started_by_a_delayed_launch() {
    let mut simulation = Simulation::started(1, 1);
    simulation.network.holds_commands = true;
    simulation.workers[0].is_isolated = true;
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(0.4);
    simulation.cancel("j-1");
    simulation.advance(1.0);
    simulation.network.holds_commands = false;
    simulation.workers[0].is_isolated = false;
    simulation.advance(5.0);
    for held in simulation.network.take_held_commands() {
        simulation.deliver_command(&held);
    }
    assert_eq!(simulation.running_count(), 0);
    simulation.submit(&job_desc("j-2", 1));
    simulation.advance(4.0);
    assert_eq!(
        simulation.workers_running("j-2/0").len(),
        1,
        "the machine still runs new jobs"
    );
}

/// An owner that is cut from the store does not receive a cancellation, but its workers still
/// receive its answers. The tasks must end in time all the same.
#[test]
fn tasks_end_within_the_cancel_timeout_while_the_owner_is_cut_from_the_store() {
    let mut simulation = Simulation::started(2, 1);
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(3.0);
    let owner = simulation.owner();
    // The owner still reaches its worker, but not the store.
    simulation.controllers[owner].faults.is_cut_from_store = true;
    simulation.cancel("j-1");
    let cancel_timeout_s = simulation.cancel_timeout_s();
    simulation.advance(cancel_timeout_s - 1.0);
    assert_eq!(simulation.running_count(), 0);
}

/// Checks a cancellation that the owner cannot read from the store.
///
/// The store rejects the owner only, while another controller confirms a cancellation. Then the
/// store is down for all controllers for longer than the cancel timeout. Workers are paused for
/// `pause_s` seconds and send heartbeats otherwise.
fn cancel_during_rejection_and_outage(pause_s: f64) {
    let mut simulation = Simulation::started(3, 3);
    simulation.submit(&job_desc("j-1", 8));
    let mut other_team = job_desc("j-2", 4);
    other_team.team = "blue".into();
    simulation.submit(&other_team);
    simulation.advance(4.0);
    let owner = simulation.owner();
    simulation.controllers[owner].faults.is_rejected_by_store = true;
    simulation.advance(1.2);
    simulation.cancel("j-1");
    for worker in &mut simulation.workers {
        worker.is_paused = pause_s > 0.0;
    }
    simulation.advance(0.8);
    simulation.store.is_down = true;
    simulation.advance(12.0);
    simulation.controllers[owner].faults.is_rejected_by_store = false;
    simulation.advance((pause_s - 12.8).max(0.0));
    for worker in &mut simulation.workers {
        worker.is_paused = false;
    }
    let cancel_timeout_s = simulation.cancel_timeout_s();
    simulation.advance(cancel_timeout_s + 10.0 - pause_s);
    assert_eq!(simulation.running_count(), 0);
    assert_eq!(
        simulation.owner(),
        owner,
        "the owner keeps the partition: its lease has its full time to live again"
    );
    simulation.store.is_down = false;
    simulation.advance(8.0);
    assert!(simulation.running_count_of("j-1/") == 0);
    assert_eq!(
        simulation.running_count(),
        4,
        "the other job's tasks keep running"
    );
}

#[test]
fn cancellation_holds_when_the_owner_is_rejected_before_an_outage() {
    cancel_during_rejection_and_outage(0.0);
}

#[test]
fn cancellation_holds_when_workers_pause_in_a_rejection_before_an_outage() {
    // The pause is slightly shorter than a worker lease, so the tasks are still valid after it.
    cancel_during_rejection_and_outage(28.0);
}

/// The store rejects an owner, so it cannot read a cancellation. It must act on the mesh message of
/// the controller that confirmed the cancellation. A message whose revision the owner's watch has
/// already applied must change nothing.
#[test]
fn cancellation_reaches_an_owner_without_the_store_over_the_mesh() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let owner = simulation.owner();
    simulation.controllers[owner].faults.is_rejected_by_store = true;
    simulation.cancel_through((owner + 1) % 3, "j-1");
    simulation.advance(4.0);
    assert_eq!(simulation.running_count(), 0);
    // The owner's watch lags behind: it receives the message of a job's cancellation before it
    // reads the job.
    simulation.controllers[owner].faults.is_rejected_by_store = false;
    let (job, revision) = ("j-2".into(), Revision(simulation.store.revision + 100));
    simulation.handle_input(
        owner,
        Input::PeerMessage(Message::Cancelled { job, revision }),
    );
    simulation.submit(&job_desc("j-2", 1));
    simulation.submit(&job_desc("j-3", 1));
    simulation.advance(4.0);
    assert!(!simulation.has_started("j-2"));
    assert!(simulation.has_started("j-3"));
    // A message with a revision that the watch has already applied changes nothing.
    let (job, revision) = ("j-3".into(), Revision(1));
    simulation.handle_input(
        owner,
        Input::PeerMessage(Message::Cancelled { job, revision }),
    );
    simulation.advance(4.0);
    assert_eq!(simulation.workers_running("j-3/0").len(), 1);
}
