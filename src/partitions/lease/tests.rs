//! Tests of the leader's lease.

use super::*;

/// Guards against a lease that is used after it may have expired in the store, and against
/// renewals of a lease that the store reports as expired. Its validity of 4.5 s (three quarters
/// of 6 s) counts from when the grant was requested, and an expired lease is replaced by a new one.
#[test]
fn an_expired_lease_is_granted_anew() {
    let mut lease = Lease::new(Micros::from_secs(6.0));
    let granted_at = Micros::from_secs(1.0);
    assert!(matches!(
        lease.next_request(granted_at),
        Some(Request::GrantLease { .. })
    ));
    lease.handle_reply(granted_at, &Reply::LeaseGranted(LeaseId(3)));
    assert_eq!(lease.valid_lease_id(granted_at), Some(LeaseId(3)));
    assert_eq!(
        lease.valid_lease_id(Micros::from_secs(6.0)),
        None,
        "counted from when the request was sent"
    );

    let expired_at = Micros::from_secs(2.0);
    assert_eq!(
        lease.next_request(expired_at),
        Some(Request::RenewLease {
            lease_id: LeaseId(3)
        })
    );
    lease.handle_reply(expired_at, &Reply::LeaseExpired);

    assert_eq!(lease.valid_lease_id(expired_at), None);
    assert!(matches!(
        lease.next_request(expired_at),
        Some(Request::GrantLease { .. })
    ));
}
