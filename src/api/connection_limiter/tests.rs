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

/// Guards against sockets used up by users and workers.
#[test]
fn connections_are_rejected_at_the_limit_and_workers_are_not_kept_alive_near_it() {
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

/// Guards against a retry storm: workers that connect at the same time would all be answered
/// after their timeout, and would connect again.
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

    // A connection that is closed without an answer is removed from the count, too. The
    // answered connection is not removed a second time when it is closed.
    connections.push(connection_limiter.open());
    assert_eq!(connection_limiter.admit(), FuseAction::Reject);
    connections.clear();
    let window = connection_limiter.window();
    assert_eq!(connection_limiter.unanswered.count(window), 0);
}

/// Guards against clients that connect and send no request, and so use up the limit on
/// unanswered connections.
#[test]
fn connections_without_a_request_count_against_the_limit_for_two_windows_at_most() {
    let unanswered = UnansweredConnections::default();
    for _ in 0..5 {
        unanswered.add(7);
    }
    unanswered.add(8);
    assert_eq!(unanswered.count(8), 6);
    unanswered.remove(7, 8);
    assert_eq!(unanswered.count(8), 5);

    // The four unanswered connections of window 7 no longer count, and closing them changes
    // nothing.
    assert_eq!(unanswered.count(9), 1);
    unanswered.remove(7, 9);
    unanswered.remove(8, 9);
    assert_eq!(unanswered.count(9), 0);

    unanswered.add(9);
    assert_eq!(unanswered.count(30), 0);
    unanswered.remove(9, 30);
    assert_eq!(unanswered.count(30), 0);
}
