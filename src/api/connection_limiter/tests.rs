use super::*;
use crate::settings::tests::settings;

fn connection_limiter() -> (ConnectionLimiter, SocketShares) {
    let s = settings();
    let sockets = s.socket_shares().expect("enough");
    (ConnectionLimiter::new(&s, &sockets), sockets)
}

fn answered(connection_limiter: &ConnectionLimiter) -> Place {
    let place = connection_limiter.place();
    place.on_write(1);
    place
}

#[test]
fn at_the_bound_new_connections_are_refused_and_before_it_workers_do_not_stay() {
    let (connection_limiter, sockets) = connection_limiter();
    let mut places: Vec<Place> = (0..=sockets.worker_close_threshold)
        .map(|_| answered(&connection_limiter))
        .collect();
    assert!(connection_limiter.crowded());
    assert!(
        matches!(connection_limiter.admit(), FuseAction::Accept(_)),
        "users still come in"
    );
    places.extend((places.len()..sockets.max_served).map(|_| answered(&connection_limiter)));
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);
    places.truncate(sockets.worker_close_threshold);
    assert!(matches!(connection_limiter.admit(), FuseAction::Accept(_)));
    assert!(!connection_limiter.crowded());
}

#[test]
fn no_more_come_in_at_once_than_can_be_answered_in_time() {
    let (connection_limiter, sockets) = connection_limiter();
    let mut places: Vec<Place> = (0..sockets.max_unanswered)
        .map(|_| connection_limiter.place())
        .collect();
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);
    places[0].on_write(1);
    places[0].on_write(1);
    assert!(matches!(connection_limiter.admit(), FuseAction::Accept(_)));
    // One that leaves without an answer makes room, too; one answered only once.
    places.push(connection_limiter.place());
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);
    places.clear();
    assert_eq!(connection_limiter.fresh.count(connection_limiter.span()), 0);
}

#[test]
fn connections_that_never_ask_lock_nobody_out_for_long() {
    let fresh = PendingConnections::default();
    for _ in 0..5 {
        fresh.enter(7);
    }
    fresh.enter(8);
    assert_eq!(fresh.count(8), 6);
    fresh.leave(7, 8);
    assert_eq!(fresh.count(8), 5);
    // The four that still say nothing no longer count, and don't when they go.
    assert_eq!(fresh.count(9), 1);
    fresh.leave(7, 9);
    fresh.leave(8, 9);
    assert_eq!(fresh.count(9), 0);
    fresh.enter(9);
    assert_eq!(fresh.count(30), 0);
    fresh.leave(9, 30);
    assert_eq!(fresh.count(30), 0);
}
