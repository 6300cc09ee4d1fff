//! Tests of the transitions between open, cordoned and quarantined machines.

use super::Schedulability;
use crate::clock::Micros;

/// Guards against a quarantine that is lifted by a heartbeat, and against a cordon that is not.
#[test]
fn a_cordon_is_lifted_and_a_quarantine_is_not() {
    let mut silent = Schedulability::Open;
    silent.cordon();
    assert_eq!(silent, Schedulability::Cordoned);
    silent.quarantine(Micros(5));
    assert_eq!(silent, Schedulability::Cordoned);
    silent.uncordon();
    assert!(silent.is_open());
    let mut failing = Schedulability::Open;
    failing.quarantine(Micros(5));
    failing.cordon();
    failing.uncordon();
    assert_eq!(failing, Schedulability::Quarantined { until: Micros(5) });
}

/// Guards against a quarantine that never ends, and against a cordon that ends with time alone.
#[test]
fn a_quarantine_ends_at_its_time() {
    let mut failing = Schedulability::Open;
    failing.quarantine(Micros(5));
    assert!(!failing.lift_ended_quarantine(Micros(4)) && !failing.is_open());
    assert!(failing.lift_ended_quarantine(Micros(5)) && failing.is_open());
    let mut silent = Schedulability::Cordoned;
    assert!(!silent.lift_ended_quarantine(Micros(9)) && !silent.is_open());
}
