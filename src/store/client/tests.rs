use super::*;

#[test]
fn renewals_pass_when_the_budget_is_used_up() {
    let now = Micros(0);
    let mut b = TokenBucket::new(10.0, now);
    let taken = (0..20).filter(|_| b.take(now, 1.0, 0.35)).count();
    assert_eq!(taken, 6);
    assert!(b.take(now, 1.0, -1.0));
    assert!(!b.take(now, 1.0, 0.35));
    assert!(b.take(Micros(1_000_000), 1.0, 0.35));
}

#[test]
fn what_is_larger_than_the_bucket_passes_as_a_debt() {
    let mut b = TokenBucket::new(10.0, Micros(0));
    assert!(b.take(Micros(0), 16.0, 0.1));
    assert!(!b.take(Micros(700_000), 1.0, 0.1), "still in debt");
    assert!(b.take(Micros(800_000), 1.0, 0.1));
}

/// Seen as jobs of one task that waited for minutes to be recorded as done: their owner
/// used two fifths of the changes, and the other controllers almost none.
#[test]
fn the_rate_of_changes_rises_to_what_others_leave_and_falls_when_refused() {
    let mut bucket = AdaptiveTokenBucket::new(12.0, 25.0, 25.0, Micros(0));
    let passed_in_second = |bucket: &mut AdaptiveTokenBucket, second: u64| {
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
    let txn = Request::CompareAndSwap {
        compares: vec![],
        mutations: vec![],
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
        Reply::LeaseExpired
    );
    assert_eq!(read_reply(&txn, 503, b""), Reply::Rejected);
    // Half an answer is no answer: the write may have been carried out.
    assert_eq!(read_reply(&txn, 200, b"{\"led"), Reply::Indeterminate);
    assert_eq!(read_reply(&txn, 502, b""), Reply::Indeterminate);
}

#[test]
fn the_wire_and_the_records_keep_their_names() {
    let compares = [super::super::compare("a/b".into(), Revision(412))];
    let mutations = [
        super::super::put_with_lease("a/b".into(), &7, LeaseId(9)),
        super::super::delete("c/d".into()),
    ];
    let said = txn_body(&compares, &mutations).to_string();
    let page = r#"{"if":[{"k":"a/b","stamp":412}],"then":[{"set":"a/b","tenure":9,"value":7},{"delete":"c/d"}]}"#;
    assert_eq!(said, page);
    let row = r#"{"k":"a/b","value":{},"stamp":412,"tenure":7}"#;
    let row: KeyValue = serde_json::from_str(row).expect("a row");
    assert_eq!(row.revision, Revision(412));
    let log = r#"{"ledger":433,"log":[{"set":"c/9","value":{},"stamp":433},{"delete":"c/d","stamp":432}]}"#;
    let log: WatchBody = serde_json::from_str(log).expect("a log");
    assert_eq!(log.log[1].revision, Revision(432));
    let leased = Request::GrantLease { ttl: Micros(1) };
    let told = read_reply(&leased, 200, br#"{"tenure":7}"#);
    assert_eq!(told, Reply::LeaseGranted(LeaseId(7)));
}

#[test]
fn transactions_keep_their_form() {
    use super::super::{compare, delete, put, put_with_lease};
    let compares = [
        compare("r/x".into(), Revision(412)),
        compare("r/y".into(), Revision(0)),
    ];
    let mutations = [
        put("r/x".into(), &json!({"b": [1.5, null], "a": "t"})),
        put_with_lease("r/y".into(), &7, LeaseId(9)),
        delete("r/z".into()),
    ];
    let body = r#"{"if":[{"k":"r/x","stamp":412},{"k":"r/y","stamp":0}],"then":[{"set":"r/x","value":{"a":"t","b":[1.5,null]}},{"set":"r/y","tenure":9,"value":7},{"delete":"r/z"}]}"#;
    assert_eq!(txn_body(&compares, &mutations).to_string(), body);
    assert_eq!(txn_body(&[], &[]).to_string(), r#"{"if":[],"then":[]}"#);
}

#[test]
fn changes_of_a_watch_are_parsed_from_their_wire_form() {
    let log = r#"{"ledger":433,"new":1,"log":[
        {"set":"r/x","value":{"a":1},"stamp":433,"tenure":9},{"set":"r/y","value":null,"stamp":431},
        {"delete":"r/z","stamp":432}]}"#;
    let log: WatchBody = serde_json::from_str(log).expect("a log");
    assert_eq!(log.revision, 433);
    let told: Vec<_> = log
        .log
        .iter()
        .map(|c| {
            (
                c.set.as_deref(),
                c.delete.as_deref(),
                &c.value,
                c.revision.0,
            )
        })
        .collect();
    let expected = [
        (Some("r/x"), None, &json!({"a": 1}), 433),
        (Some("r/y"), None, &Value::Null, 431),
        (None, Some("r/z"), &Value::Null, 432),
    ];
    assert_eq!(told, expected);
    for broken in [
        r#"{"log":[]}"#,
        r#"{"ledger":1}"#,
        r#"{"ledger":1,"log":[{"set":"x"}]}"#,
    ] {
        assert!(
            serde_json::from_str::<WatchBody>(broken).is_err(),
            "{broken}"
        );
    }
}

#[test]
fn replies_are_read_by_request_and_status() {
    let lease_id = LeaseId(7);
    let get = Request::Get { key: "r/x".into() };
    let list = Request::List {
        prefix: "r/".into(),
        start_after: None,
    };
    let txn = Request::CompareAndSwap {
        compares: vec![],
        mutations: vec![],
    };
    let new = Request::GrantLease { ttl: Micros(1) };
    let (renew, end) = (
        Request::RenewLease { lease_id },
        Request::RevokeLease { lease_id },
    );
    let row = |key: &str, value, revision| KeyValue {
        key: key.into(),
        value,
        revision: Revision(revision),
    };
    let x = row("r/x", json!({"a": 1}), 412);
    let page = |rows, more, revision| Reply::Page {
        entries: rows,
        more,
        revision,
    };
    let rows = r#"{"rows":[{"k":"r/x","value":{"a":1},"stamp":412,"tenure":7},{"k":"r/y","value":null,"stamp":3}],"more":true,"ledger":433}"#;
    let both = vec![x.clone(), row("r/y", Value::Null, 3)];
    let told = |request, status, body: &str| read_reply(request, status, body.as_bytes());
    let found = r#"{"k":"r/x","value":{"a":1},"stamp":412,"new":0}"#;
    assert_eq!(told(&get, 200, found), Reply::Value(x));
    assert_eq!(
        told(&get, 200, r#"{"k":"r/x","value":1}"#),
        Reply::Indeterminate
    );
    assert_eq!(told(&get, 404, r#"{"error":"none"}"#), Reply::NotFound);
    assert_eq!(told(&list, 200, rows), page(both, true, 433));
    let empty = page(vec![], false, 5);
    assert_eq!(told(&list, 200, r#"{"rows":[],"ledger":5}"#), empty);
    assert_eq!(told(&list, 200, r#"{"rows":[]}"#), Reply::Indeterminate);
    let committed = Reply::Committed(Revision(434));
    assert_eq!(told(&txn, 200, r#"{"ledger":434,"new":0}"#), committed);
    let conflict = Reply::Conflict(vec!["a".into(), "b".into()]);
    assert_eq!(told(&txn, 409, r#"{"failed":["a","b"]}"#), conflict);
    assert_eq!(told(&txn, 409, r#"{"ledger":4}"#), Reply::Indeterminate);
    let no_lease = r#"{"error":"no such lease"}"#;
    assert_eq!(told(&txn, 400, no_lease), Reply::LeaseExpired);
    assert_eq!(told(&txn, 400, r#"{"error":"bad"}"#), Reply::Rejected);
    let leased = Reply::LeaseGranted(lease_id);
    assert_eq!(told(&new, 200, r#"{"tenure":7,"lifeMs":1}"#), leased);
    for request in [&renew, &end] {
        assert_eq!(told(request, 200, "{}"), Reply::Acknowledged);
        assert_eq!(told(request, 204, ""), Reply::Acknowledged);
        assert_eq!(told(request, 404, ""), Reply::LeaseExpired);
    }
    for request in [&get, &list, &txn, &new, &renew, &end] {
        let told = |status| read_reply(request, status, b"");
        assert_eq!((told(429), told(503)), (Reply::Rejected, Reply::Rejected));
        assert_eq!(
            (told(413), told(500)),
            (Reply::Rejected, Reply::Indeterminate)
        );
    }
}

/// Seen as hundreds of refusals in the minutes after the limit had fallen to 21 a second.
#[test]
fn after_a_refusal_the_rate_rises_to_the_coming_limit_only() {
    let rate_after = |most_refused: f64| {
        let mut bucket = AdaptiveTokenBucket::new(8.0, 25.0, most_refused, Micros(0));
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
    let set = |n: usize| super::super::put(format!("a/{n}"), &"x".repeat(n));
    // The quotes count.
    let mutations = [super::super::delete("a/0".into()), set(1_998), set(1_999)];
    assert_eq!(oversize(&mutations, 2_001), None);
    assert_eq!(oversize(&mutations, 2_000), Some(("a/1999", 2_001)));
    assert_eq!(oversize(&mutations, 1_000), Some(("a/1998", 2_000)));
    let compares = Vec::new();
    let request = Request::CompareAndSwap {
        compares,
        mutations: mutations.to_vec(),
    };
    assert_eq!(keys_of(&request), ["a/0", "a/1998", "a/1999"]);
}
