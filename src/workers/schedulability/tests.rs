//! Tests of the transitions between open, cordoned and quarantined machines.

use super::Schedulability;

/// Guards against a quarantine that is lifted by a heartbeat, and against a cordon that is not.
#[test]
fn a_cordon_is_lifted_and_a_quarantine_is_not() {
    let mut silent = Schedulability::Open;
    silent.cordon();
    assert_eq!(silent, Schedulability::Cordoned);
    silent.quarantine();
    assert_eq!(silent, Schedulability::Cordoned);
    silent.uncordon();
    assert!(silent.is_open());
    let mut failing = Schedulability::Open;
    failing.quarantine();
    failing.cordon();
    failing.uncordon();
    assert_eq!(failing, Schedulability::Quarantined);
}
