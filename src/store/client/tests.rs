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
        Reply::Committed(Revision(432))
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

#[test]
fn the_wire_and_the_records_keep_their_names() {
    let conds = [super::super::cond("a/b".into(), Revision(412))];
    let ops = [
        super::super::set_leased("a/b".into(), &7, LeaseId(9)),
        super::super::delete("c/d".into()),
    ];
    let said = txn_body(&conds, &ops).to_string();
    let page = r#"{"if":[{"k":"a/b","stamp":412}],"then":[{"set":"a/b","tenure":9,"value":7},{"delete":"c/d"}]}"#;
    assert_eq!(said, page);
    let row = r#"{"k":"a/b","value":{},"stamp":412,"tenure":7}"#;
    let row: Row = serde_json::from_str(row).expect("a row");
    assert_eq!(row.revision, Revision(412));
    let log = r#"{"ledger":433,"log":[{"set":"c/9","value":{},"stamp":433},{"delete":"c/d","stamp":432}]}"#;
    let log: Log = serde_json::from_str(log).expect("a log");
    assert_eq!(log.log[1].revision, Revision(432));
    let leased = Request::NewLease { life: Micros(1) };
    let told = read_reply(&leased, 200, br#"{"tenure":7}"#);
    assert_eq!(told, Reply::Leased(LeaseId(7)));
}
