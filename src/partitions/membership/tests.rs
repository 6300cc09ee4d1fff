//! Tests of a controller's membership: its registration and the time until which it may act.

use super::*;

fn membership() -> Membership {
    Membership::new(
        Label::from("c0"),
        "a:1".into(),
        Micros::from_secs(12.0),
        Micros::from_secs(11.0),
    )
}

/// Registers a member whose predecessor left no key, as incarnation 42 with lease 7.
fn register(member: &mut Membership, now: Micros) {
    member
        .next_request(now)
        .expect("a read of the predecessor's key");
    member.handle_reply(now, &Reply::NotFound);
    member.next_request(now).expect("a grant of a lease");
    member.handle_reply(now, &Reply::LeaseGranted(LeaseId(7)));
    member.next_request(now).expect("a registration");
    member.handle_reply(now, &Reply::Committed(Revision(42)));
}

/// Guards against a restarted controller that waits until the lease of its predecessor expires
/// before it can write the member key.
#[test]
fn a_restart_under_the_same_label_revokes_the_predecessors_lease_and_registers_at_once() {
    let mut member = membership();
    member.next_request(Micros(1));
    let value = serde_json::json!({"addr": "a:1", "tenure": 3});
    member.handle_reply(
        Micros(2),
        &Reply::Value(KeyValue {
            key: "r/members/c0".into(),
            value,
            revision: Revision(9),
        }),
    );
    assert_eq!(
        member.next_request(Micros(3)),
        Some(Request::RevokeLease {
            lease_id: LeaseId(3)
        })
    );
    member.handle_reply(Micros(4), &Reply::Acknowledged);

    register(&mut member, Micros(5));

    assert_eq!(member.incarnation(), Some(Revision(42)));
}

/// Guards against a controller that acts after its lease may have expired: the reply to a renewal
/// arrives later than the moment from which the store counts the time to live.
#[test]
fn the_lease_counts_from_when_its_renewal_was_sent() {
    let mut member = membership();
    let registered_at = Micros::from_secs(1.0);
    register(&mut member, registered_at);
    assert_eq!(member.may_act_until(registered_at), Micros::from_secs(12.0));

    member.next_request(Micros::from_secs(5.0));
    member.handle_reply(Micros::from_secs(7.0), &Reply::Acknowledged);

    assert_eq!(
        member.may_act_until(Micros::from_secs(30.0)),
        Micros::from_secs(16.0)
    );
    // Without a later read of the store's changes, the renewal does not extend the time.
    assert_eq!(
        member.may_act_until(Micros::from_secs(2.0)),
        Micros::from_secs(13.0)
    );
}

/// Guards against a controller that acts without a lease: the store may not have carried out a
/// renewal without a reply, and an expired lease means that the incarnation is no longer a member.
#[test]
fn an_indeterminate_renewal_extends_nothing_and_an_expired_lease_ends_the_incarnation() {
    let mut member = membership();
    register(&mut member, Micros::from_secs(1.0));

    member.next_request(Micros::from_secs(5.0));
    member.handle_reply(Micros::from_secs(7.0), &Reply::Indeterminate);
    assert_eq!(
        member.may_act_until(Micros::from_secs(30.0)),
        Micros::from_secs(12.0)
    );

    member
        .next_request(Micros::from_secs(8.0))
        .expect("a retry");
    member.handle_reply(Micros::from_secs(8.0), &Reply::LeaseExpired);
    assert_eq!(
        (
            member.incarnation(),
            member.may_act_until(Micros::from_secs(8.0))
        ),
        (None, Micros::ZERO)
    );
}
