//! Outages of the store, and watches whose position the store has compacted: the health of
//! controllers, answers to status queries, and running tasks.

use super::simulation::{LookupAnswer, Simulation};
use crate::api::channels::HeartbeatAnswer;
use crate::api::read_index::JobLookup;
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;

/// In an outage of the store all controllers are affected alike. Reporting them as unhealthy would
/// leave users without any controller.
#[test]
fn outage_makes_no_controller_unhealthy() {
    let mut simulation = Simulation::started(3, 1);
    simulation.store.is_down = true;
    simulation.advance(10.0);
    assert!(
        simulation
            .controllers
            .iter()
            .all(|controller| controller.view.healthy)
    );
}

/// Returns the answer to a status query, for comparison.
fn lookup_answer(controller: usize, request_id: u64, lookup: JobLookup) -> LookupAnswer {
    LookupAnswer {
        controller,
        request_id,
        lookup,
    }
}

/// A controller that was cut from the store has an outdated watch cache. It must answer
/// `Unavailable` until it has read the store again, and then answer correctly for every job within
/// seconds.
#[test]
fn after_outages_every_controller_answers_for_every_job_within_seconds() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 2));
    simulation.advance(3.0);
    let cut_off = (simulation.owner() + 1) % 3;
    simulation.controllers[cut_off].faults.is_cut_from_store = true;
    simulation.finish_all();
    simulation.advance(4.0);
    for number in 2..20 {
        simulation.submit(&job_desc(&format!("j-{number}"), 1));
    }
    simulation.advance(20.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    // The controller's watch cache is outdated, so it must answer `Unavailable` immediately.
    simulation.query_job(cut_off, "j-1", 1);
    assert_eq!(
        simulation.users.lookups.pop(),
        Some(lookup_answer(cut_off, 1, JobLookup::Unavailable))
    );
    simulation.store.is_down = true;
    simulation.advance(30.0);
    simulation.store.is_down = false;
    // The store has compacted its log, so the controller must list the whole store again.
    simulation.controllers[cut_off].faults.is_cut_from_store = false;
    simulation.controllers[cut_off].lose_watch();
    simulation.advance(2.0);
    for controller in 0..3 {
        for number in 1..20 {
            simulation.query_job(controller, &format!("j-{number}"), number);
        }
    }
    simulation.advance(0.5);
    assert_eq!(simulation.users.lookups.len(), 57);
    for answer in &simulation.users.lookups {
        let lookup = &answer.lookup;
        let is_done = matches!(lookup, JobLookup::Ended(record) if record.state == JobState::Done);
        let is_live = matches!(lookup, JobLookup::Live { .. });
        assert!(
            if answer.request_id == 1 {
                is_done
            } else {
                is_live
            },
            "unexpected answer: {answer:?}"
        );
    }
    simulation.users.lookups.clear();
    simulation.query_job(cut_off, "j-999", 99);
    simulation.advance(0.5);
    assert_eq!(
        simulation.users.lookups.pop(),
        Some(lookup_answer(cut_off, 99, JobLookup::NotFound))
    );
}

/// Delays the launches of four jobs. The owner raises the workers' fencing tokens each time, so
/// they are then far above the first token of the term.
fn raise_fencing_tokens(simulation: &mut Simulation) {
    for number in 2..6 {
        simulation.network.holds_commands = true;
        simulation.submit(&job_desc(&format!("j-{number}"), 1));
        simulation.advance(0.3);
        simulation.network.holds_commands = false;
        simulation.advance(4.0);
    }
}

/// Returns the highest fencing token that each worker has accepted.
fn fencing_tokens(simulation: &Simulation) -> Vec<u64> {
    let workers = simulation.workers.iter();
    workers.map(|worker| worker.fencing_token.0).collect()
}

/// The store has compacted the log entries that the owner's watch needs next, so the owner lists
/// the whole store again and keeps its term. It must keep the running tasks, must not lower a
/// fencing token, and must not accept late heartbeats.
#[test]
fn listing_the_store_again_keeps_running_tasks() {
    let mut simulation = Simulation::started(1, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    raise_fencing_tokens(&mut simulation);
    let copies = [
        simulation.workers[0].heartbeat(),
        simulation.workers[1].heartbeat(),
    ];
    simulation.finish_all();
    simulation.advance(4.0);
    let earlier = fencing_tokens(&simulation);
    // While the owner is cut from the store, a job is submitted and another one is cancelled. The
    // owner learns of both from the list.
    simulation.submit(&job_desc("j-7", 1));
    simulation.advance(2.0);
    simulation.controllers[0].faults.is_cut_from_store = true;
    simulation.submit(&job_desc("j-8", 2));
    simulation.cancel("j-7");
    simulation.advance(1.0);
    simulation.controllers[0].lose_watch();
    simulation.controllers[0].faults.is_cut_from_store = false;
    simulation.advance(0.1);
    for copy in &copies {
        assert_eq!(
            simulation.deliver_late_heartbeat(0, copy),
            Some(HeartbeatAnswer::Unavailable),
            "the copy is older than the last heartbeat"
        );
    }
    simulation.advance(5.0);
    assert_eq!(
        simulation.workers_running("j-8/0").len(),
        1,
        "workers accept the owner's token and the new attempt"
    );
    assert!(simulation.workers_running("j-7/0").is_empty());
    assert_eq!(simulation.running_count(), 2);
    let later = fencing_tokens(&simulation);
    assert!(
        earlier
            .iter()
            .zip(&later)
            .all(|(earlier, later)| earlier <= later)
    );
    let lease_s = simulation.worker_lease_s();
    simulation.advance(lease_s + 5.0);
    assert!(
        simulation
            .workers
            .iter()
            .all(|worker| worker.agent_epoch == 1),
        "no worker lease expired, so heartbeats were answered throughout"
    );
}

/// Guards against controllers that all became unhealthy in an outage of 70 s: 2,244 connections
/// found no healthy controller.
#[test]
fn in_a_long_outage_connected_controllers_stay_healthy() {
    let mut simulation = Simulation::started(3, 2);
    let healthy = |simulation: &Simulation| -> Vec<bool> {
        simulation
            .controllers
            .iter()
            .map(|controller| controller.view.healthy)
            .collect()
    };
    assert_eq!(healthy(&simulation), vec![true; 3]);
    simulation.store.is_down = true;
    for _ in 0..60 {
        simulation.advance(1.0);
        assert_eq!(
            healthy(&simulation),
            vec![true; 3],
            "all controllers stay healthy, since removing one would help no user"
        );
    }
    // A controller that is cut from its peers, too, must assume that it is itself isolated.
    simulation.controllers[0].faults.is_cut_from_peers = true;
    simulation.advance(5.0);
    assert_eq!(healthy(&simulation), vec![false, true, true]);
    // The store is up again, but rejects one controller. Only that controller is unhealthy.
    simulation.controllers[0].faults.is_cut_from_peers = false;
    simulation.controllers[0].faults.is_rejected_by_store = true;
    simulation.store.is_down = false;
    simulation.advance(8.0);
    assert_eq!(healthy(&simulation), vec![false, true, true]);
}
