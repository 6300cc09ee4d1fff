use super::*;

#[test]
fn renewals_pass_when_the_budget_is_used_up() {
    let now = Micros(0);
    let mut b = Bucket::new(10.0, now);
    let taken = (0..20).filter(|_| b.take(now, 1.0, 0.35)).count();
    assert_eq!(taken, 6);
    assert!(b.take(now, 1.0, -1.0));
    assert!(!b.take(now, 1.0, 0.35));
    assert!(b.take(Micros(1_000_000), 1.0, 0.35));
}

#[test]
fn what_is_larger_than_the_bucket_passes_as_a_debt() {
    let mut b = Bucket::new(10.0, Micros(0));
    assert!(b.take(Micros(0), 16.0, 0.1));
    assert!(!b.take(Micros(700_000), 1.0, 0.1), "still in debt");
    assert!(b.take(Micros(800_000), 1.0, 0.1));
}

#[test]
fn only_clear_answers_are_clear() {
    let txn = Request::Txn {
        conds: vec![],
        ops: vec![],
    };
    assert_eq!(
        read_reply(&txn, 200, br#"{"ledger":432}"#),
        Reply::Committed(Stamp(432))
    );
    assert_eq!(
        read_reply(&txn, 409, br#"{"failed":["a"],"ledger":4}"#),
        Reply::Conflict(vec!["a".into()])
    );
    assert_eq!(
        read_reply(&txn, 400, br#"{"error":"no such lease"}"#),
        Reply::LeaseGone
    );
    assert_eq!(read_reply(&txn, 503, b""), Reply::Refused);
    // Half an answer is no answer: the write may have been carried out.
    assert_eq!(read_reply(&txn, 200, b"{\"led"), Reply::Unknown);
    assert_eq!(read_reply(&txn, 502, b""), Reply::Unknown);
}
