use super::*;
use crate::settings::tests::settings;

fn connection_limiter() -> (ConnectionLimiter, SocketShares) {
    let settings = settings();
    let sockets = settings.socket_shares().expect("enough sockets");
    (ConnectionLimiter::new(&settings, &sockets), sockets)
}

fn answered(connection_limiter: &ConnectionLimiter) -> OpenConnection {
    let connection = connection_limiter.open();
    connection.on_write(1);
    connection
}

#[test]
fn at_the_limit_new_connections_are_rejected_and_near_it_workers_do_not_keep_theirs() {
    let (connection_limiter, sockets) = connection_limiter();
    let mut connections: Vec<OpenConnection> = (0..=sockets.worker_close_threshold)
        .map(|_| answered(&connection_limiter))
        .collect();
    assert!(connection_limiter.is_near_limit());
    assert!(
        matches!(connection_limiter.admit(), FuseAction::Accept(_)),
        "users are still admitted"
    );

    connections
        .extend((connections.len()..sockets.max_served).map(|_| answered(&connection_limiter)));
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);

    connections.truncate(sockets.worker_close_threshold);
    assert!(matches!(connection_limiter.admit(), FuseAction::Accept(_)));
    assert!(!connection_limiter.is_near_limit());
}

#[test]
fn no_more_connections_are_admitted_at_once_than_can_be_answered_in_time() {
    let (connection_limiter, sockets) = connection_limiter();
    let mut connections: Vec<OpenConnection> = (0..sockets.max_unanswered)
        .map(|_| connection_limiter.open())
        .collect();
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);

    connections[0].on_write(1);
    connections[0].on_write(1);
    assert!(matches!(connection_limiter.admit(), FuseAction::Accept(_)));

    // One that is closed without an answer makes room, too; the answered one only once.
    connections.push(connection_limiter.open());
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);
    connections.clear();
    let window = connection_limiter.window();
    assert_eq!(connection_limiter.pending.count(window), 0);
}

#[test]
fn connections_that_send_no_request_keep_others_out_for_two_windows_at_most() {
    let pending = PendingConnections::default();
    for _ in 0..5 {
        pending.add(7);
    }
    pending.add(8);
    assert_eq!(pending.count(8), 6);
    pending.remove(7, 8);
    assert_eq!(pending.count(8), 5);

    // The four that still send nothing no longer count, nor does their end.
    assert_eq!(pending.count(9), 1);
    pending.remove(7, 9);
    pending.remove(8, 9);
    assert_eq!(pending.count(9), 0);

    pending.add(9);
    assert_eq!(pending.count(30), 0);
    pending.remove(9, 30);
    assert_eq!(pending.count(30), 0);
}
