use super::*;
use crate::ids::{Revision, Term};
use crate::jobs::tests::{job_record, machine_types};

/// Guards against a waiting job that fits only the large machines and never starts, because
/// small jobs that fit every machine type keep taking the large machines.
#[test]
fn unconstrained_job_yields_large_machines_to_a_constrained_job() {
    let mut constrained = ConstrainedDemand::new(&machine_types());
    let mut small = Job::new(&job_record("j-1", 4, Term(1)), Revision(1), 0, 64);
    small.start_latency_objective = Some(Micros::from_secs(70.0));
    let soon = Micros::from_secs(5.0);
    assert!(
        constrained.yielded_machine_types(&small, soon).is_empty(),
        "no constrained job waits"
    );
    // A waiting class whose jobs request 8 cores fits the large machine type only.
    constrained.waiting = vec![vec![false, true]];
    assert_eq!(constrained.yielded_machine_types(&small, soon), vec!["big"]);
    assert!(
        constrained
            .yielded_machine_types(&small, Micros::from_secs(40.0))
            .is_empty(),
        "it yields for a part of its start latency objective only"
    );
    small.start_latency_objective = Some(Micros::from_secs(3.0));
    assert!(
        constrained.yielded_machine_types(&small, soon).is_empty(),
        "its start latency objective is too short to wait"
    );
    // A job without start latency objective and deadline yields as long as its tasks start
    // elsewhere.
    let mut background = job_record("j-3", 4, Term(1));
    background.desc.deadline_s = None;
    let mut background = Job::new(&background, Revision(1), 0, 64);
    let later = Micros::from_secs(100.0);
    assert!(
        constrained
            .yielded_machine_types(&background, later)
            .is_empty()
    );
    background.last_start_at = Micros::from_secs(50.0);
    assert_eq!(
        constrained.yielded_machine_types(&background, later),
        vec!["big"]
    );
    // A job that fits no more machine types than the waiting class yields none.
    let mut large = job_record("j-2", 4, Term(1));
    large.desc.cores = 8.0;
    let mut large = Job::new(&large, Revision(1), 0, 64);
    large.start_latency_objective = Some(Micros::from_secs(70.0));
    assert!(constrained.yielded_machine_types(&large, soon).is_empty());
}
