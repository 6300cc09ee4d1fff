//! Tests of the form of identifiers and of the order of fencing tokens.

use rockdeal_types::ids::{AttemptId, FencingToken, JobId, TaskId, Term};

/// Guards against workers that obey an earlier owner because of its high epoch.
#[test]
fn token_of_higher_term_exceeds_every_epoch_of_lower_term() {
    assert!(FencingToken::of(Term(4), 0) > FencingToken::of(Term(3), u64::MAX));
    assert!(FencingToken::of(Term(3), 1) > FencingToken::of(Term(3), 0));
}

/// Guards against attempts of an earlier owner that are taken for the present owner's.
#[test]
fn attempt_id_belongs_to_the_term_that_issued_it() {
    let attempt = AttemptId::of(Term(3), 7);
    assert!(attempt.is_of_term(Term(3)));
    assert!(!attempt.is_of_term(Term(2)) && !attempt.is_of_term(Term(4)));
}

/// Guards against malformed ids from users and workers that are taken as valid.
#[test]
fn only_well_formed_job_and_task_ids_are_accepted() {
    assert!(JobId::from("j-000412").is_well_formed());
    for malformed in ["", "j-", "x-1", "j-1a", "j-1/2", "j- 1"] {
        assert!(!JobId::from(malformed).is_well_formed(), "{malformed}");
    }
    assert_eq!(TaskId::parse("j-1/7").map(|task| task.index), Some(7));
    assert_eq!(TaskId::parse("j-1"), None);
}
