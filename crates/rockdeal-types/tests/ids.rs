//! Identifiers, and the numbers that terms and epochs make up.

use rockdeal_types::ids::{FencingToken, JobId, TaskId, Term};

#[test]
fn a_higher_term_beats_every_epoch_of_a_lower_one() {
    assert!(FencingToken::of(Term(4), 0) > FencingToken::of(Term(3), u64::MAX));
    assert!(FencingToken::of(Term(3), 1) > FencingToken::of(Term(3), 0));
}

#[test]
fn ids_have_one_form() {
    assert!(JobId::from("j-000412").is_well_formed());
    for bad in ["", "j-", "x-1", "j-1a", "j-1/2", "j- 1"] {
        assert!(!JobId::from(bad).is_well_formed(), "{bad}");
    }
    assert_eq!(TaskId::parse("j-1/7").map(|t| t.index), Some(7));
    assert_eq!(TaskId::parse("j-1"), None);
}
