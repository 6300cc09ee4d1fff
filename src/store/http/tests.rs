//! Guards against changes to the HTTP form of requests, and against a reply that claims to know
//! the outcome of a request when the response does not show it.

use super::*;

fn compare_and_swap() -> Request {
    Request::CompareAndSwap {
        compares: vec![],
        mutations: vec![],
    }
}

#[test]
fn only_definite_responses_give_definite_replies() {
    let request = compare_and_swap();
    assert_eq!(
        parse_reply(&request, 200, br#"{"ledger":432}"#),
        Reply::Committed(Revision(432))
    );
    assert_eq!(
        parse_reply(&request, 409, br#"{"failed":["a"],"ledger":4}"#),
        Reply::Conflict(vec!["a".into()])
    );
    assert_eq!(
        parse_reply(&request, 400, br#"{"error":"no such lease"}"#),
        Reply::LeaseExpired
    );
    assert_eq!(parse_reply(&request, 503, b""), Reply::Rejected);
    // After a truncated response the write may have been carried out.
    assert_eq!(parse_reply(&request, 200, b"{\"led"), Reply::Indeterminate);
    assert_eq!(parse_reply(&request, 502, b""), Reply::Indeterminate);
}

#[test]
fn wire_and_record_fields_keep_their_names() {
    let compares = [Compare::new("a/b".into(), Revision(412))];
    let mutations = [
        Mutation::put_with_lease("a/b".into(), &7, LeaseId(9)),
        Mutation::delete("c/d".into()),
    ];
    let body = transaction_body(&compares, &mutations).to_string();
    let expected = r#"{"if":[{"k":"a/b","stamp":412}],"then":[{"set":"a/b","tenure":9,"value":7},{"delete":"c/d"}]}"#;
    assert_eq!(body, expected);
    let entry = r#"{"k":"a/b","value":{},"stamp":412,"tenure":7}"#;
    let entry: KeyValue = serde_json::from_str(entry).expect("a key with its value");
    assert_eq!(entry.revision, Revision(412));
    let watch = r#"{"ledger":433,"log":[{"set":"c/9","value":{},"stamp":433},{"delete":"c/d","stamp":432}]}"#;
    let watch: WatchBody = serde_json::from_str(watch).expect("a watch body");
    assert_eq!(watch.events[1].revision, Revision(432));
    let grant = Request::GrantLease { ttl: Micros(1) };
    let reply = parse_reply(&grant, 200, br#"{"tenure":7}"#);
    assert_eq!(reply, Reply::LeaseGranted(LeaseId(7)));
}

#[test]
fn transactions_keep_their_wire_form() {
    let compares = [
        Compare::new("r/x".into(), Revision(412)),
        Compare::new("r/y".into(), Revision(0)),
    ];
    let mutations = [
        Mutation::put("r/x".into(), &json!({"b": [1.5, null], "a": "t"})),
        Mutation::put_with_lease("r/y".into(), &7, LeaseId(9)),
        Mutation::delete("r/z".into()),
    ];
    let body = r#"{"if":[{"k":"r/x","stamp":412},{"k":"r/y","stamp":0}],"then":[{"set":"r/x","value":{"a":"t","b":[1.5,null]}},{"set":"r/y","tenure":9,"value":7},{"delete":"r/z"}]}"#;
    assert_eq!(transaction_body(&compares, &mutations).to_string(), body);
    let empty = transaction_body(&[], &[]).to_string();
    assert_eq!(empty, r#"{"if":[],"then":[]}"#);
}

#[test]
fn watches_keep_their_wire_form() {
    let wait = Duration::from_millis(300);
    let request = watch_request("r/", Revision(412), wait);
    let path = "/follow?starts=r/&since=412&waitMs=300";
    assert_eq!(request, HttpRequest::get(path.into()));
}

#[test]
fn watch_events_are_parsed_from_their_wire_form() {
    let body = r#"{"ledger":433,"new":1,"log":[
        {"set":"r/x","value":{"a":1},"stamp":433,"tenure":9},{"set":"r/y","value":null,"stamp":431},
        {"delete":"r/z","stamp":432}]}"#;
    let body: WatchBody = serde_json::from_str(body).expect("a watch body");
    assert_eq!(body.revision, Revision(433));
    let parsed: Vec<_> = body
        .events
        .iter()
        .map(|event| {
            (
                event.set.as_deref(),
                event.delete.as_deref(),
                &event.value,
                event.revision.0,
            )
        })
        .collect();
    let expected = [
        (Some("r/x"), None, &json!({"a": 1}), 433),
        (Some("r/y"), None, &Value::Null, 431),
        (None, Some("r/z"), &Value::Null, 432),
    ];
    assert_eq!(parsed, expected);
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

fn list() -> Request {
    Request::List {
        prefix: "r/".into(),
        start_after: None,
    }
}

fn reply_to(request: &Request, status: u16, body: &str) -> Reply {
    parse_reply(request, status, body.as_bytes())
}

fn entry(key: &str, value: Value, revision: u64) -> KeyValue {
    KeyValue {
        key: key.into(),
        value,
        revision: Revision(revision),
    }
}

#[test]
fn replies_to_reads_depend_on_request_and_status() {
    let (get, list) = (Request::Get { key: "r/x".into() }, list());
    let x = entry("r/x", json!({"a": 1}), 412);
    let page = |entries, more, revision| Reply::Page {
        entries,
        more,
        revision: Revision(revision),
    };
    let rows = r#"{"rows":[{"k":"r/x","value":{"a":1},"stamp":412,"tenure":7},{"k":"r/y","value":null,"stamp":3}],"more":true,"ledger":433}"#;
    let both = vec![x.clone(), entry("r/y", Value::Null, 3)];
    let found = r#"{"k":"r/x","value":{"a":1},"stamp":412,"new":0}"#;
    assert_eq!(reply_to(&get, 200, found), Reply::Value(x));
    assert_eq!(
        reply_to(&get, 200, r#"{"k":"r/x","value":1}"#),
        Reply::Indeterminate
    );
    assert_eq!(reply_to(&get, 404, r#"{"error":"none"}"#), Reply::NotFound);
    assert_eq!(reply_to(&list, 200, rows), page(both, true, 433));
    let empty = page(vec![], false, 5);
    assert_eq!(reply_to(&list, 200, r#"{"rows":[],"ledger":5}"#), empty);
    assert_eq!(reply_to(&list, 200, r#"{"rows":[]}"#), Reply::Indeterminate);
}

#[test]
fn replies_to_compare_and_swaps_depend_on_status() {
    let request = compare_and_swap();
    let committed = Reply::Committed(Revision(434));
    assert_eq!(
        reply_to(&request, 200, r#"{"ledger":434,"new":0}"#),
        committed
    );
    let conflict = Reply::Conflict(vec!["a".into(), "b".into()]);
    assert_eq!(reply_to(&request, 409, r#"{"failed":["a","b"]}"#), conflict);
    assert_eq!(
        reply_to(&request, 409, r#"{"ledger":4}"#),
        Reply::Indeterminate
    );
    let no_lease = r#"{"error":"no such lease"}"#;
    assert_eq!(reply_to(&request, 400, no_lease), Reply::LeaseExpired);
    assert_eq!(
        reply_to(&request, 400, r#"{"error":"bad"}"#),
        Reply::Rejected
    );
}

#[test]
fn replies_about_leases_depend_on_request_and_status() {
    let lease_id = LeaseId(7);
    let grant = Request::GrantLease { ttl: Micros(1) };
    let granted = Reply::LeaseGranted(lease_id);
    assert_eq!(reply_to(&grant, 200, r#"{"tenure":7,"lifeMs":1}"#), granted);
    for request in [
        Request::RenewLease { lease_id },
        Request::RevokeLease { lease_id },
    ] {
        assert_eq!(reply_to(&request, 200, "{}"), Reply::Acknowledged);
        assert_eq!(reply_to(&request, 204, ""), Reply::Acknowledged);
        assert_eq!(reply_to(&request, 404, ""), Reply::LeaseExpired);
    }
}

#[test]
fn errors_of_the_store_are_rejected_or_indeterminate_for_every_request() {
    let lease_id = LeaseId(7);
    for request in [
        Request::Get { key: "r/x".into() },
        list(),
        compare_and_swap(),
        Request::GrantLease { ttl: Micros(1) },
        Request::RenewLease { lease_id },
        Request::RevokeLease { lease_id },
    ] {
        let reply = |status| parse_reply(&request, status, b"");
        assert_eq!((reply(429), reply(503)), (Reply::Rejected, Reply::Rejected));
        assert_eq!(
            (reply(413), reply(500)),
            (Reply::Rejected, Reply::Indeterminate)
        );
    }
}
