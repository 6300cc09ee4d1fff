//! Starvation: a job that has waited for a long time starts, also under overload.

use super::simulation::{Simulation, secs};
use crate::jobs::Priority;
use crate::jobs::tests::job_desc;
use std::collections::BTreeSet;

/// A job that needs its team's whole limit could wait for ever while small jobs of the same team
/// keep starting below the limit. Once it counts as starving, they must not overtake it.
#[test]
fn starving_job_is_not_overtaken_by_its_team_below_the_limit() {
    let mut simulation = Simulation::started(1, 3);
    simulation.task_duration = Some(secs(10.0));
    // The job needs its team's whole limit on one of the three machines.
    let mut whole_machine = job_desc("j-90001", 1);
    whole_machine.cores = 16.0;
    simulation.submit(&whole_machine);
    for number in 0..170 {
        let mut stream = job_desc(&format!("j-{number}"), 1);
        stream.priority = Priority::Production;
        // Without a deadline the small job has no slack, so it yields no machine to the large job.
        stream.deadline_s = None;
        simulation.submit(&stream);
        simulation.advance(1.0);
    }
    assert!(simulation.has_started("j-90001"));
}

/// A starved job waits for the whole limit of its team, and only the large machine suits it. When the
/// limit gets free with the end of tasks on a smaller machine, that machine must not be refilled with
/// other jobs of the team before the starved job starts.
#[test]
fn starving_job_is_not_overtaken_on_a_smaller_machine_when_its_limit_gets_free() {
    let mut simulation = Simulation::builder(1, 2).build();
    simulation.workers[1].machine_type = "small";
    simulation.idle_release_after = secs(1_000.0);
    simulation.task_duration = Some(secs(10.0));
    simulation.start_all_controllers();
    simulation.advance(6.0);
    let mut whole_limit = job_desc("j-90001", 1);
    whole_limit.cores = 16.0;
    simulation.submit(&whole_limit);
    for number in 0..170 {
        let mut stream = job_desc(&format!("j-{number}"), 1);
        stream.priority = Priority::Production;
        stream.machine_types = Some(vec!["small".into()]);
        stream.deadline_s = None;
        simulation.submit(&stream);
        simulation.advance(1.0);
    }
    assert!(simulation.has_started("j-90001"));
}

/// Twice as many tasks arrive as the machine can run, for almost four minutes, most of them with a
/// higher priority than the first five jobs. Each of these five jobs must start nevertheless.
#[test]
fn under_lasting_overload_every_job_starts_within_four_minutes() {
    let mut simulation = Simulation::started(1, 1);
    simulation.task_duration = Some(secs(10.0));
    // A job that needs a whole machine, a job of the lowest priority, a job that misses its
    // deadline, a large job array, and a job of another team.
    let mut whole_machine = job_desc("j-90001", 1);
    whole_machine.cores = 16.0;
    let mut low_priority = job_desc("j-90002", 2);
    low_priority.priority = Priority::Idle;
    low_priority.class = "other".into();
    let mut overdue = job_desc("j-90003", 2);
    overdue.deadline_s = Some(1.0);
    let large_array = job_desc("j-90004", 100);
    let mut other_team = job_desc("j-90005", 2);
    other_team.team = "blue".into();
    for job in [
        &whole_machine,
        &low_priority,
        &overdue,
        &large_array,
        &other_team,
    ] {
        simulation.submit(job);
    }
    let mut started = BTreeSet::new();
    for number in 0..230 {
        // The stream needs twice the machine's capacity and has a higher priority than most jobs.
        let mut stream = job_desc(&format!("j-{number}"), 2);
        stream.priority = Priority::Production;
        stream.team = if number % 2 == 0 { "red" } else { "blue" }.into();
        stream.deadline_s = Some(1_000.0);
        simulation.submit(&stream);
        simulation.advance(1.0);
        for id in 90001..=90005 {
            if simulation.has_started(&format!("j-{id}")) {
                started.insert(id);
            }
        }
    }
    assert_eq!(started.len(), 5, "only these jobs started: {started:?}");
    let live = simulation
        .store
        .keys
        .keys()
        .filter(|key| key.starts_with("r/jobs/"))
        .count();
    assert!(
        live > 50,
        "only {live} jobs are waiting, so there was no overload"
    );
}
