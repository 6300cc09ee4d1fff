//! Outages of the store and watches that fell behind: health, status queries, and what keeps
//! running.

use super::simulation::{LookupAnswer, Simulation};
use crate::api::ports::HeartbeatAnswer;
use crate::api::read_index::JobLookup;
use crate::jobs::JobState;
use crate::jobs::tests::desc;

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

fn answer(controller: usize, request_id: u64, lookup: JobLookup) -> LookupAnswer {
    LookupAnswer {
        controller,
        request_id,
        lookup,
    }
}

#[test]
fn after_outages_every_controller_answers_for_every_job_within_seconds() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&desc("j-1", 2));
    simulation.advance(3.0);
    let cut_off = (simulation.owner() + 1) % 3;
    simulation.controllers[cut_off].faults.is_cut_from_store = true;
    simulation.finish_all();
    simulation.advance(4.0);
    for number in 2..20 {
        simulation.submit(&desc(&format!("j-{number}"), 1));
    }
    simulation.advance(20.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    // Its watch cache is outdated: it must not answer from it, and says so at once.
    simulation.query_job(cut_off, "j-1", 1);
    assert_eq!(
        simulation.users.lookups.pop(),
        Some(answer(cut_off, 1, JobLookup::Unavailable))
    );
    simulation.store.is_down = true;
    simulation.advance(30.0);
    simulation.store.is_down = false;
    // The log was compacted: it must list everything again.
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
            "{answer:?}"
        );
    }
    simulation.users.lookups.clear();
    simulation.query_job(cut_off, "j-999", 99);
    simulation.advance(0.5);
    assert_eq!(
        simulation.users.lookups.pop(),
        Some(answer(cut_off, 99, JobLookup::NotFound))
    );
}

/// Delays the launches of four jobs, so that the workers' tokens are far above the term's first.
fn fence_several_times(simulation: &mut Simulation) {
    for number in 2..6 {
        simulation.network.holds_commands = true;
        simulation.submit(&desc(&format!("j-{number}"), 1));
        simulation.advance(0.3);
        simulation.network.holds_commands = false;
        simulation.advance(4.0);
    }
}

fn fencing_tokens(simulation: &Simulation) -> Vec<u64> {
    let workers = simulation.workers.iter();
    workers.map(|worker| worker.fencing_token.0).collect()
}

/// The watch fell behind the store's log: the same owner lists the whole store again under the
/// same term.
#[test]
fn listing_the_store_again_keeps_running_tasks() {
    let mut simulation = Simulation::started(1, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    fence_several_times(&mut simulation);
    let copies = [
        simulation.workers[0].heartbeat(),
        simulation.workers[1].heartbeat(),
    ];
    simulation.finish_all();
    simulation.advance(4.0);
    let earlier = fencing_tokens(&simulation);
    // Cut from the store: jobs submitted and cancelled meanwhile come with the list.
    simulation.submit(&desc("j-7", 1));
    simulation.advance(2.0);
    simulation.controllers[0].faults.is_cut_from_store = true;
    simulation.submit(&desc("j-8", 2));
    simulation.cancel("j-7");
    simulation.advance(1.0);
    simulation.controllers[0].lose_watch();
    simulation.controllers[0].faults.is_cut_from_store = false;
    simulation.advance(0.1);
    for copy in &copies {
        assert_eq!(
            simulation.deliver_late_heartbeat(0, copy),
            Some(HeartbeatAnswer::Unavailable),
            "older than the last heartbeat"
        );
    }
    simulation.advance(5.0);
    assert_eq!(
        simulation.workers_running("j-8/0").len(),
        1,
        "workers accept the token, and the attempt is new"
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
        "answered all along"
    );
}

/// Guards against 2,244 connections that found no healthy controller in an outage of 70 s.
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
            "removing one would help no user"
        );
    }
    // A controller that is also cut from its peers must assume that it is isolated itself.
    simulation.controllers[0].faults.is_cut_from_peers = true;
    simulation.advance(5.0);
    assert_eq!(healthy(&simulation), vec![false, true, true]);
    // Once the store is up for the others, the one that it rejects is unhealthy.
    simulation.controllers[0].faults.is_cut_from_peers = false;
    simulation.controllers[0].faults.is_rejected_by_store = true;
    simulation.store.is_down = false;
    simulation.advance(8.0);
    assert_eq!(healthy(&simulation), vec![false, true, true]);
}
