//! Guards against two requests of a kind in flight at once, and against a lost reply that blocks
//! all later requests of its kind.

use super::{InFlightRequests, RequestKind};
use crate::clock::Micros;

const START: Micros = Micros::from_millis(60_000);

fn after_millis(millis: u64) -> Micros {
    START + Micros::from_millis(millis)
}

#[test]
fn one_request_of_a_kind_is_in_flight_until_it_is_finished() {
    let mut in_flight = InFlightRequests::default();
    assert!(in_flight.begin_request(START, RequestKind::Candidacy));
    assert!(!in_flight.begin_request(after_millis(1), RequestKind::Candidacy));
    assert!(in_flight.begin_request(after_millis(1), RequestKind::StepDown));
    in_flight.finish(RequestKind::Candidacy);
    assert!(in_flight.begin_request(after_millis(2), RequestKind::Candidacy));
}

#[test]
fn an_unanswered_request_may_be_begun_again_after_its_timeout() {
    let mut in_flight = InFlightRequests::default();
    assert!(in_flight.begin_request(START, RequestKind::HandBackAll));
    assert!(!in_flight.begin_request(after_millis(5_999), RequestKind::HandBackAll));
    assert!(in_flight.begin_request(after_millis(6_000), RequestKind::HandBackAll));
}

#[test]
fn a_request_finished_with_a_delay_may_be_begun_again_only_after_it() {
    let mut in_flight = InFlightRequests::default();
    assert!(in_flight.begin_request(START, RequestKind::PartitionGrants));
    let delay = Micros::from_millis(600);
    in_flight.finish_after(START, RequestKind::PartitionGrants, delay);
    assert!(!in_flight.begin_request(after_millis(599), RequestKind::PartitionGrants));
    assert!(in_flight.begin_request(after_millis(600), RequestKind::PartitionGrants));
}
