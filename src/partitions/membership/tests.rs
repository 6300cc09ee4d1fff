use super::*;
use crate::store::KeyValue;

fn member() -> Membership {
    Membership::new(
        Label::from("c0"),
        "a:1".into(),
        Micros::from_secs(12.0),
        Micros::from_secs(11.0),
    )
}

fn join(m: &mut Membership, now: Micros) {
    m.next_request(now).expect("a look");
    m.handle_reply(now, &Reply::NotFound);
    m.next_request(now).expect("a lease");
    m.handle_reply(now, &Reply::LeaseGranted(LeaseId(7)));
    m.next_request(now).expect("a registration");
    m.handle_reply(now, &Reply::Committed(Revision(42)));
}

#[test]
fn a_restart_under_the_same_label_ends_the_old_lease_and_waits_for_nobody() {
    let mut m = member();
    m.next_request(Micros(1));
    let value = serde_json::json!({"addr": "a:1", "tenure": 3});
    m.handle_reply(
        Micros(2),
        &Reply::Value(KeyValue {
            key: "r/members/c0".into(),
            value,
            revision: Revision(9),
        }),
    );
    assert_eq!(
        m.next_request(Micros(3)),
        Some(Request::RevokeLease {
            lease_id: LeaseId(3)
        })
    );
    m.handle_reply(Micros(4), &Reply::Acknowledged);
    join(&mut m, Micros(5));
    assert_eq!(m.incarnation(), Some(Revision(42)));
}

#[test]
fn the_lease_counts_from_when_a_renewal_was_sent() {
    let mut m = member();
    let t = Micros::from_secs(1.0);
    join(&mut m, t);
    assert_eq!(m.may_act_until(t), Micros::from_secs(12.0));
    m.next_request(Micros::from_secs(5.0));
    m.handle_reply(Micros::from_secs(7.0), &Reply::Acknowledged);
    assert_eq!(
        m.may_act_until(Micros::from_secs(30.0)),
        Micros::from_secs(16.0)
    );
    // Without a reading of the changes, the renewal does not help.
    assert_eq!(
        m.may_act_until(Micros::from_secs(2.0)),
        Micros::from_secs(13.0)
    );
}

#[test]
fn an_unanswered_renewal_extends_nothing_and_a_lost_lease_ends_the_incarnation() {
    let mut m = member();
    let t = Micros::from_secs(1.0);
    join(&mut m, t);
    m.next_request(Micros::from_secs(5.0));
    m.handle_reply(Micros::from_secs(7.0), &Reply::Indeterminate);
    assert_eq!(
        m.may_act_until(Micros::from_secs(30.0)),
        Micros::from_secs(12.0)
    );
    m.next_request(Micros::from_secs(8.0)).expect("again");
    m.handle_reply(Micros::from_secs(8.0), &Reply::LeaseExpired);
    assert_eq!(
        (m.incarnation(), m.may_act_until(Micros::from_secs(8.0))),
        (None, Micros::ZERO)
    );
}
