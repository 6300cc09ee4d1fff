//! Guards against wrong conclusions from gossip: a dead peer that counts as fit, a peer that has
//! just joined and does not, a controller without peers that considers itself isolated, and an
//! outdated partition state that replaces a newer one.

use super::PeerTable;
use crate::clock::Micros;
use crate::ids::{Label, PartitionId, Revision, Term};
use crate::mesh::{PartitionState, PeerState};

fn at_millis(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn state(sender: &str, workers_reachable: bool) -> PeerState {
    PeerState {
        sender: sender.into(),
        incarnation: Revision(1),
        store_reachable: true,
        workers_reachable,
        partitions: Vec::new(),
    }
}

fn partition_state(term: u64, received_at: Micros) -> PartitionState {
    PartitionState {
        received_at,
        partition: PartitionId(0),
        term: Term(term),
        capacity_requests: Vec::new(),
        releasable_machines: Vec::new(),
    }
}

#[test]
fn a_peer_is_fit_while_it_sends_states_and_reaches_its_workers() {
    let peer = Label::from("b");
    let mut peers = PeerTable::new(Micros::ZERO);
    peers.record_state(at_millis(10_000), state("b", true));
    assert!(peers.is_fit(at_millis(14_999), &peer));
    assert!(!peers.is_fit(at_millis(15_000), &peer));

    peers.record_state(at_millis(15_000), state("b", false));
    assert!(!peers.is_fit(at_millis(15_001), &peer));
}

#[test]
fn a_new_incarnation_is_fit_until_its_first_state_is_overdue() {
    let peer = Label::from("b");
    let mut peers = PeerTable::new(Micros::ZERO);
    peers.record_state(at_millis(10_000), state("b", false));
    peers.record_member(at_millis(11_000), &peer, Revision(9));
    peers.record_member(at_millis(15_000), &peer, Revision(9));
    assert!(peers.is_fit(at_millis(15_999), &peer));
    assert!(!peers.is_fit(at_millis(16_000), &peer));
}

#[test]
fn a_controller_is_isolated_only_if_there_are_others_and_all_are_silent() {
    let others = [Label::from("b"), Label::from("c")];
    let mut peers = PeerTable::new(Micros::ZERO);
    assert!(!peers.are_all_silent(at_millis(9_000), [].iter(), None));
    assert!(!peers.are_all_silent(at_millis(8_000), others.iter(), None));
    assert!(peers.are_all_silent(at_millis(8_001), others.iter(), None));
    let since = Some(at_millis(1_000));
    assert!(!peers.are_all_silent(at_millis(8_001), others.iter(), since));

    peers.record_state(at_millis(8_001), state("c", true));
    assert!(!peers.are_all_silent(at_millis(16_001), others.iter(), None));
    assert!(peers.are_all_silent(at_millis(16_002), others.iter(), None));
}

#[test]
fn the_newest_partition_state_is_that_of_the_highest_term_then_of_the_last_receipt() {
    let mut peers = PeerTable::new(Micros::ZERO);
    let mut higher_term = state("b", true);
    higher_term.partitions = vec![partition_state(3, Micros::ZERO)];
    let mut later_receipt = state("c", true);
    later_receipt.partitions = vec![partition_state(2, Micros::ZERO)];
    peers.record_state(at_millis(1_000), higher_term);
    peers.record_state(at_millis(2_000), later_receipt);

    let own = vec![partition_state(3, at_millis(3_000))];
    let newest = peers.newest_partition_states(Vec::new());
    let newest_with_own = peers.newest_partition_states(own);

    let term_and_receipt = |states: &std::collections::BTreeMap<PartitionId, PartitionState>| {
        let state = &states[&PartitionId(0)];
        (state.term, state.received_at)
    };
    assert_eq!(term_and_receipt(&newest), (Term(3), at_millis(1_000)));
    assert_eq!(
        term_and_receipt(&newest_with_own),
        (Term(3), at_millis(3_000))
    );
}
