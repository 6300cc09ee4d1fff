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

/// Seen as jobs of one task that waited for minutes to be recorded as done: their holder
/// used two fifths of the changes, and the other controllers almost none.
#[test]
fn the_rate_of_changes_rises_to_what_others_leave_and_falls_when_refused() {
    let mut bucket = AdaptiveBucket::new(12.0, 25.0, 25.0, Micros(0));
    let passed_in_second = |bucket: &mut AdaptiveBucket, second: u64| {
        let at = |i: u64| Micros(second * 1_000_000 + i * 10_000);
        (0..100).filter(|i| bucket.take(at(*i), 1.0, 0.0)).count()
    };
    passed_in_second(&mut bucket, 1);
    assert!(passed_in_second(&mut bucket, 2) <= 13);
    let later: usize = (3..60).map(|s| passed_in_second(&mut bucket, s)).sum();
    assert!(later > 57 * 17, "{later} in 57 s");
    assert!((24..=25).contains(&passed_in_second(&mut bucket, 60)));
    bucket.over_limit(Micros(61_000_000));
    bucket.over_limit(Micros(61_100_000));
    assert!((17..=18).contains(&passed_in_second(&mut bucket, 61)));
    for refused in 62..80 {
        bucket.over_limit(Micros(refused * 1_000_000));
    }
    assert!(passed_in_second(&mut bucket, 80) >= 12, "its even share");
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

/// Seen as hundreds of refusals in the minutes after the limit had fallen to 21 a second.
#[test]
fn after_a_refusal_the_rate_rises_to_the_coming_limit_only() {
    let rate_after = |most_refused: f64| {
        let mut bucket = AdaptiveBucket::new(8.0, 25.0, most_refused, Micros(0));
        let minute = Micros::from_secs(60.0);
        assert!(bucket.take(minute, 1.0, 0.0));
        assert_eq!(bucket.bucket.rate, 25.0, "as long as none is refused");
        bucket.over_limit(minute);
        assert!(bucket.bucket.rate < 18.0);
        bucket.take(minute + minute, 1.0, 0.0);
        bucket.bucket.rate
    };
    assert_eq!(rate_after(18.0), 18.0);
    assert_eq!(rate_after(25.0), 25.0, "where no other limit is to come");
}

#[test]
fn a_value_over_the_limit_is_found_before_it_is_sent() {
    let set = |n: usize| super::super::set(format!("a/{n}"), &"x".repeat(n));
    // The quotes count.
    let ops = [super::super::delete("a/0".into()), set(1_998), set(1_999)];
    assert_eq!(oversize(&ops, 2_001), None);
    assert_eq!(oversize(&ops, 2_000), Some(("a/1999", 2_001)));
    assert_eq!(oversize(&ops, 1_000), Some(("a/1998", 2_000)));
    let conds = Vec::new();
    let request = Request::Txn {
        conds,
        ops: ops.to_vec(),
    };
    assert_eq!(keys_of(&request), ["a/0", "a/1998", "a/1999"]);
}
