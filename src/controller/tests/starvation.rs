//! Starvation: whoever waits for long starts, also under overload.

use super::simulation::{Simulation, secs};
use crate::jobs::Priority;
use crate::jobs::tests::desc;
use std::collections::BTreeSet;

#[test]
fn starving_job_is_not_overtaken_by_its_team_below_the_limit() {
    let mut simulation = Simulation::started(1, 3);
    simulation.task_duration = Some(secs(10.0));
    // It needs its team's whole limit, on one machine of three.
    let mut whole = desc("j-90001", 1);
    whole.cores = 16.0;
    simulation.submit(&whole);
    for number in 0..170 {
        let mut stream = desc(&format!("j-{number}"), 1);
        stream.priority = Priority::Production;
        // It has no slack, so it leaves no machine to the other.
        stream.deadline_s = None;
        simulation.submit(&stream);
        simulation.advance(1.0);
    }
    assert!(simulation.has_started("j-90001"));
}

#[test]
fn under_lasting_overload_every_job_starts_within_four_minutes() {
    let mut simulation = Simulation::started(1, 1);
    simulation.task_duration = Some(secs(10.0));
    // A whole machine, the lowest priority, a missed deadline, and a large job array.
    let mut whole = desc("j-90001", 1);
    whole.cores = 16.0;
    let mut low = desc("j-90002", 2);
    low.priority = Priority::Idle;
    low.class = "other".into();
    let mut lost = desc("j-90003", 2);
    lost.deadline_s = Some(1.0);
    let large = desc("j-90004", 100);
    let mut blue = desc("j-90005", 2);
    blue.team = "blue".into();
    for job in [&whole, &low, &lost, &large, &blue] {
        simulation.submit(job);
    }
    let mut started = BTreeSet::new();
    for number in 0..230 {
        // Twice the machine's capacity, of a higher priority than most.
        let mut stream = desc(&format!("j-{number}"), 2);
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
    assert_eq!(started.len(), 5, "{started:?}");
    let live = simulation
        .store
        .keys
        .keys()
        .filter(|key| key.starts_with("r/jobs/"))
        .count();
    assert!(live > 50, "it was an overload: {live} wait");
}
