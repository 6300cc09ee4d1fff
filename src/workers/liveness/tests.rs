//! Tests of the start of a worker's lease.

use crate::clock::Micros;
use crate::workers::tests::{heartbeat, machine};

/// Guards against a lease that is taken for expired too early: the last response to a heartbeat may
/// be older than the worker's current agent epoch.
#[test]
fn a_lease_counts_from_the_start_of_its_agent_epoch_too() {
    let mut machine = machine();
    let first = heartbeat("m", 1, 1, machine.fencing_token(), &[]);
    machine.reconcile(Micros::from_secs(10.0), &first);
    machine.record_response(Micros::from_secs(10.0), &first);
    assert_eq!(machine.lease_started_at(), Micros::from_secs(10.0));
    // The new epoch becomes known by the reply to a direct command, so no response to a heartbeat
    // has renewed the lease.
    let next = heartbeat("m", 2, 2, machine.fencing_token(), &[]);
    machine.reconcile(Micros::from_secs(15.0), &next);
    assert_eq!(machine.lease_started_at(), Micros::from_secs(15.0));
}
