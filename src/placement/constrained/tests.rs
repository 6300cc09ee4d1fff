use super::*;
use crate::ids::{Revision, Term};
use crate::jobs::tests::{rec, types};

#[test]
fn what_has_a_choice_leaves_the_large_machines_to_what_has_none() {
    let mut constrained = ConstrainedDemand::new(&types());
    let mut small = Job::new(&rec("j-1", 4, Term(1)), Revision(1), 0, 64);
    small.start_latency_objective = Some(Micros::from_secs(70.0));
    let soon = Micros::from_secs(5.0);
    assert!(constrained.leaves(&small, soon).is_empty(), "nothing waits");
    // 8 cores fit the big machines only.
    constrained.waiting = vec![vec![false, true]];
    assert_eq!(constrained.leaves(&small, soon), vec!["big"]);
    assert!(
        constrained
            .leaves(&small, Micros::from_secs(40.0))
            .is_empty(),
        "not for ever"
    );
    small.start_latency_objective = Some(Micros::from_secs(3.0));
    assert!(constrained.leaves(&small, soon).is_empty(), "it can't wait");
    // Without objective or deadline it leaves them as long as it gets on elsewhere.
    let mut background = rec("j-3", 4, Term(1));
    background.desc.deadline_s = None;
    let mut background = Job::new(&background, Revision(1), 0, 64);
    let later = Micros::from_secs(100.0);
    assert!(constrained.leaves(&background, later).is_empty());
    background.last_start_at = Micros::from_secs(50.0);
    assert_eq!(constrained.leaves(&background, later), vec!["big"]);
    // What fits no more than the waiting class does leaves it nothing.
    let mut large = rec("j-2", 4, Term(1));
    large.desc.cores = 8.0;
    let mut large = Job::new(&large, Revision(1), 0, 64);
    large.start_latency_objective = Some(Micros::from_secs(70.0));
    assert!(constrained.leaves(&large, soon).is_empty());
}
