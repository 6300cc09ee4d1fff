use super::*;

#[test]
fn a_lease_that_ended_is_taken_anew() {
    let mut l = Lease::new(Micros::from_secs(6.0));
    let t = Micros::from_secs(1.0);
    assert!(matches!(
        l.next_request(t),
        Some(Request::GrantLease { .. })
    ));
    l.handle_reply(t, &Reply::LeaseGranted(LeaseId(3)));
    assert_eq!(l.valid_lease_id(t), Some(LeaseId(3)));
    assert_eq!(
        l.valid_lease_id(Micros::from_secs(6.0)),
        None,
        "counted from when it was sent"
    );
    let t = Micros::from_secs(2.0);
    assert_eq!(
        l.next_request(t),
        Some(Request::RenewLease {
            lease_id: LeaseId(3)
        })
    );
    l.handle_reply(t, &Reply::LeaseExpired);
    assert_eq!(l.valid_lease_id(t), None);
    assert!(matches!(
        l.next_request(t),
        Some(Request::GrantLease { .. })
    ));
}
