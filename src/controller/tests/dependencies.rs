//! Jobs that depend on other jobs.
//!
//! A job must not start before its dependencies are done. Dependents of a cancelled job are
//! cancelled with it. Dependencies of an urgent job are scheduled with its urgency.

use super::simulation::Simulation;
use crate::api::read_index::JobLookup;
use crate::ids::{JobId, Revision};
use crate::jobs::tests::job_desc;
use crate::jobs::{JobDesc, JobState, Priority};
use crate::mesh::Message;
use crate::store::{Mutation, keys};

/// Returns a job of two tasks that depends on the given jobs.
fn dependent(id: &str, dependencies: &[&str]) -> JobDesc {
    let mut job = job_desc(id, 2);
    job.dependencies = dependencies.iter().map(|id| JobId::from(*id)).collect();
    job
}

/// Returns the status of a job as reported by each controller.
fn query_everywhere(simulation: &mut Simulation, id: &str) -> Vec<JobLookup> {
    simulation.users.lookups.clear();
    let controllers = simulation.controllers.len();
    for controller in 0..controllers {
        simulation.query_job(controller, id, 1);
    }
    simulation.advance(0.5);
    assert_eq!(simulation.users.lookups.len(), controllers);
    simulation
        .users
        .take_lookups()
        .into_iter()
        .map(|answer| answer.lookup)
        .collect()
}

/// Asserts that each controller reports a job as cancelled.
fn assert_cancelled_everywhere(simulation: &mut Simulation, id: &str) {
    for lookup in query_everywhere(simulation, id) {
        let JobLookup::Ended(record) = lookup else {
            panic!("{id} is not reported as ended: {lookup:?}");
        };
        assert_eq!(record.state, JobState::Cancelled, "end state of {id}");
    }
}

/// A dependency counts as done only once its end is stored. An end that only heartbeats have
/// reported may be lost in a failover, and the dependency would run again beside its dependent.
#[test]
fn job_starts_only_after_its_dependencies_are_stored_as_done() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&job_desc("j-1", 2));
    simulation.submit(&job_desc("j-2", 2));
    simulation.submit(&dependent("j-3", &["j-1", "j-2"]));
    simulation.submit(&dependent("j-4", &["j-3"]));
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 4);
    simulation.finish("j-1/0");
    simulation.finish("j-1/1");
    simulation.advance(3.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert_eq!(
        simulation.running_count(),
        2,
        "the other dependency is not done"
    );
    // All tasks have ended, and heartbeats report it, but the end is not stored.
    simulation.network.holds_owner_transactions = true;
    simulation.finish_all();
    simulation.advance(5.0);
    assert_eq!(simulation.running_count(), 0);
    simulation.network.holds_owner_transactions = false;
    simulation.advance(2.0);
    assert_eq!(
        simulation.workers_running("j-3/0").len() + simulation.workers_running("j-3/1").len(),
        2
    );
    simulation.finish_all();
    // The ends are reported within a heartbeat interval of 2 s. The launch is in the response to the
    // next heartbeat, half a second later.
    simulation.advance(2.5);
    assert_eq!(simulation.workers_running("j-4/0").len(), 1);
}

/// A new owner must learn from the store which dependencies are done. It must start no dependent
/// before that.
#[test]
fn failover_and_restart_of_all_controllers_start_no_dependent_early() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 2));
    simulation.submit(&dependent("j-2", &["j-1"]));
    simulation.submit(&dependent("j-3", &["j-2"]));
    simulation.advance(3.0);
    simulation.crash_owner();
    simulation.advance(40.0);
    assert_eq!(simulation.running_count(), 2, "only the tasks of j-1 run");
    simulation.finish_all();
    simulation.advance(1.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    // The next owner knows the end of the first job from its record only.
    simulation.crash_all_controllers();
    simulation.start_all_controllers();
    simulation.advance(45.0);
    assert!(simulation.has_started("j-2") && !simulation.has_started("j-3"));
    simulation.finish_all();
    simulation.advance(3.0);
    assert!(simulation.has_started("j-3"));
}

/// A job that waits for its dependencies must reserve no machine, cause no scale-out and not count
/// as starving, however urgent it is.
#[test]
fn waiting_dependent_holds_no_capacity_and_its_wait_begins_when_it_is_ready() {
    let mut simulation = Simulation::started(1, 1);
    simulation.cloud.has_capacity = true;
    simulation.submit(&job_desc("j-1", 2));
    // The dependent needs more than the running machine has, is urgent, and is of the same team.
    let mut large = dependent("j-2", &["j-1"]);
    (large.tasks, large.cores, large.priority) = (4, 4.0, Priority::Production);
    simulation.submit(&large);
    let mut small = job_desc("j-3", 6);
    (small.priority, small.deadline_s) = (Priority::Idle, None);
    simulation.advance(200.0);
    simulation.submit(&small);
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers.len(),
        1,
        "no machine is added for a job that waits for its dependencies"
    );
    assert_eq!(
        simulation.running_count(),
        8,
        "the dependent reserves no capacity and delays no job"
    );
    simulation.finish("j-1/0");
    simulation.finish("j-1/1");
    simulation.advance(60.0);
    assert!(simulation.has_started("j-2"));
}

/// The owner stores the ends of cancelled dependents some time after the cancellation. Until then,
/// every controller must already report them as cancelled. The next owner must store the ends if
/// the owner crashes.
#[test]
fn dependents_of_a_cancelled_job_are_cancelled_at_every_controller_at_once() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 2));
    simulation.submit(&dependent("j-2", &["j-1"]));
    simulation.submit(&dependent("j-3", &["j-1"]));
    let mut other_team = dependent("j-4", &["j-2", "j-3"]);
    other_team.team = "blue".into();
    simulation.submit(&other_team);
    simulation.submit(&job_desc("j-5", 2));
    simulation.advance(3.0);
    // No end of a dependent is stored, but every controller must report the cancellation.
    simulation.network.holds_owner_transactions = true;
    simulation.cancel_through(1, "j-2");
    for _ in 0..3 {
        assert_cancelled_everywhere(&mut simulation, "j-2");
        assert_cancelled_everywhere(&mut simulation, "j-4");
    }
    for id in ["j-1", "j-3", "j-5"] {
        for lookup in query_everywhere(&mut simulation, id) {
            assert!(
                matches!(lookup, JobLookup::Live { .. }),
                "{id} is not reported as live: {lookup:?}"
            );
        }
    }
    assert_eq!(simulation.ended_state("j-4"), None);
    let owner = simulation.crash_owner();
    simulation.network.holds_owner_transactions = false;
    simulation.advance(30.0);
    simulation.start_controller(owner);
    simulation.advance(5.0);
    assert_eq!(
        simulation.ended_state("j-4"),
        Some(JobState::Cancelled),
        "the next owner stores the end"
    );
    assert_cancelled_everywhere(&mut simulation, "j-4");
    // A new job that depends on a cancelled job is cancelled, and so are its dependents.
    simulation.submit(&dependent("j-6", &["j-4", "j-5"]));
    simulation.submit(&dependent("j-7", &["j-6"]));
    simulation.advance(0.5);
    assert_cancelled_everywhere(&mut simulation, "j-6");
    assert_cancelled_everywhere(&mut simulation, "j-7");
    simulation.advance(3.0);
    assert_eq!(simulation.ended_state("j-7"), Some(JobState::Cancelled));
    assert!(!simulation.has_started("j-6"));
}

/// A controller receives the message of a cancellation that the store does not confirm: the job is
/// done. The job's dependent must not be cancelled.
#[test]
fn cancellation_that_the_store_does_not_confirm_cancels_no_dependent() {
    let mut simulation = Simulation::started(1, 1);
    simulation.submit(&job_desc("j-1", 1));
    simulation.submit(&dependent("j-2", &["j-1"]));
    simulation.advance(3.0);
    simulation.finish_all();
    simulation.advance(2.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    // The store has j-1 as done, so the message must have no effect.
    let (job, revision) = ("j-1".into(), Revision(1));
    simulation.controllers[0]
        .core
        .as_mut()
        .expect("the controller is running")
        .handle_peer_message(simulation.now, Message::Cancelled { job, revision });
    simulation.advance(2.0);
    assert!(simulation.has_started("j-2"));
    simulation.finish_all();
    simulation.advance(2.0);
    assert_eq!(simulation.ended_state("j-2"), Some(JobState::Done));
}

/// The store is down right after a cancellation, for longer than the cancel timeout, so no end of a
/// dependent can be stored. After the outage all dependents must be cancelled.
#[test]
fn outage_after_a_cancellation_leaves_no_dependent_uncancelled() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 2));
    simulation.submit(&dependent("j-2", &["j-1"]));
    simulation.submit(&dependent("j-3", &["j-2"]));
    simulation.advance(3.0);
    simulation.cancel_through(0, "j-1");
    simulation.store.is_down = true;
    simulation.advance(simulation.cancel_timeout_s() + 10.0);
    assert_eq!(simulation.ended_state("j-3"), None);
    simulation.store.is_down = false;
    simulation.advance(6.0);
    assert_cancelled_everywhere(&mut simulation, "j-3");
    simulation.advance(10.0);
    assert_eq!(simulation.ended_state("j-2"), Some(JobState::Cancelled));
    assert_eq!(simulation.ended_state("j-3"), Some(JobState::Cancelled));
}

/// An urgent job of high priority depends on a job of the lowest priority. The dependency must
/// start before an older job of its own priority, or the urgent job would miss its deadline.
#[test]
fn dependencies_of_an_urgent_job_go_first_within_their_priority() {
    let mut simulation = Simulation::started(1, 1);
    // Both the team's limit and the machine have 16 cores.
    let idle = |id: &str| {
        let mut job = job_desc(id, 8);
        (job.priority, job.deadline_s, job.cores) = (Priority::Idle, None, 2.0);
        job
    };
    simulation.submit(&idle("j-1"));
    simulation.advance(3.0);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    simulation.submit(&idle("j-2"));
    simulation.advance(30.0);
    simulation.submit(&idle("j-3"));
    let mut last = dependent("j-4", &["j-3"]);
    (last.priority, last.deadline_s) = (Priority::High, Some(120.0));
    simulation.submit(&last);
    simulation.advance(1.0);
    simulation.finish_all();
    simulation.advance(2.0);
    assert_eq!(
        simulation.workers_running("j-3/0").len(),
        1,
        "the job on which the urgent job depends has started"
    );
    assert!(
        !simulation.has_started("j-2"),
        "the older job has not started"
    );
}

/// Guards against a dependent that never starts. The record of a job's end that an earlier version
/// wrote has no time, and must satisfy a dependency all the same.
#[test]
fn end_recorded_by_an_earlier_version_satisfies_a_dependency() {
    let mut simulation = Simulation::started(1, 1);
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(2.0);
    simulation.finish_all();
    simulation.advance(2.0);
    let key = keys::ended(&JobId::from("j-1"));
    let mut value = simulation.store.value(&key).clone();
    value.as_object_mut().expect("a record").remove("at");
    simulation.store.commit(vec![Mutation::put(key, &value)]);
    simulation.submit(&dependent("j-2", &["j-1"]));
    simulation.advance(3.0);
    assert!(simulation.has_started("j-2"));
}

/// While a machine is silent after a failover, older jobs wait for it, because their tasks may run
/// there. A job whose last dependency is done only after the failover cannot have been started by
/// an earlier owner, so it must not wait.
#[test]
fn dependent_that_gets_ready_after_failover_does_not_wait_for_silent_machines() {
    // The limit is high because silent machines count against it.
    let mut simulation = Simulation::builder(2, 3)
        .settings(|settings| settings["settings"]["teams"][0]["cpus_max"] = 1_000.0.into())
        .started();
    simulation.submit(&job_desc("j-1", 1));
    simulation.submit(&dependent("j-2", &["j-1"]));
    // The older job is accepted before the failover. Some of its tasks have not started for lack of
    // capacity.
    let mut older = job_desc("j-3", 4);
    older.cores = 14.0;
    simulation.submit(&older);
    simulation.advance(3.0);
    let first = simulation.workers_running("j-1/0")[0];
    let silent = (0..3).find(|worker| *worker != first).expect("a machine");
    simulation.workers[silent].is_paused = true;
    let owner = simulation.crash_owner();
    simulation.advance(21.0);
    assert_ne!(simulation.owner(), owner);
    // A task of the older job ends, which frees capacity for its next task.
    let older_running =
        |simulation: &Simulation| simulation.workers[first].running_tasks("j-3/").count();
    assert_eq!(older_running(&simulation), 1);
    let ending =
        (0..4).find(|index| simulation.workers_running(&format!("j-3/{index}")) == [first]);
    simulation.finish(&format!("j-3/{}", ending.expect("a task")));
    simulation.finish("j-1/0");
    simulation.advance(2.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert!(simulation.has_started("j-2"));
    assert_eq!(
        older_running(&simulation),
        0,
        "the older job waits for the silent machine"
    );
    simulation.advance(40.0);
    assert_eq!(
        older_running(&simulation),
        1,
        "the older job continues once the silent machine's lease has expired"
    );
}
