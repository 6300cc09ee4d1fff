use super::*;
use crate::ids::{Revision, Term};
use crate::jobs::tests::{rec, types};

#[test]
fn what_has_a_choice_leaves_the_large_machines_to_what_has_none() {
    let mut constrained = ConstrainedDemand::new(&types());
    let mut small = Job::new(&rec("j-1", 4, Term(1)), Revision(1), 0, 64);
    small.starts_within = Some(Micros::from_secs(70.0));
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
    small.starts_within = Some(Micros::from_secs(3.0));
    assert!(constrained.leaves(&small, soon).is_empty(), "it can't wait");
    // What fits no more than the waiting class does leaves it nothing.
    let mut large = rec("j-2", 4, Term(1));
    large.desc.cores = 8.0;
    let mut large = Job::new(&large, Revision(1), 0, 64);
    large.starts_within = Some(Micros::from_secs(70.0));
    assert!(constrained.leaves(&large, soon).is_empty());
}
