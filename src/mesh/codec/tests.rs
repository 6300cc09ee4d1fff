//! Guards against changes to the wire form of frames. During a rolling upgrade, two versions would
//! then misread each other's messages.

use super::*;
use crate::clock::Micros;
use crate::ids::{PartitionId, Revision, Term};
use crate::mesh::{PartitionState, PeerState};
use crate::placement::CapacityRequest;
use zone_failover::evidence::{ZoneCounts, ZoneEvidence};

#[test]
fn frames_round_trip_and_frames_of_other_versions_are_rejected() {
    let state = PeerState {
        sender: "c0".into(),
        incarnation: Revision(3),
        store_reachable: true,
        workers_reachable: true,
        partitions: vec![PartitionState {
            received_at: Micros(0),
            partition: PartitionId(1),
            term: Term(4),
            capacity_requests: vec![],
            releasable_machines: vec!["m-1".into()],
        }],
    };
    let cancelled = Message::Cancelled {
        job: "j-1".into(),
        revision: Revision(7),
    };
    let frame = encode(&cancelled).expect("encodes");
    assert_eq!(decode(&frame), Ok(cancelled));
    let state = Message::PeerState(state);
    let frame = encode(&state).expect("encodes");
    assert_eq!(decode(&frame), Ok(state));
    let mut other = frame.to_vec();
    other[0] = 9;
    assert_eq!(decode(&other), Err(DecodeError::OtherVersion(9)));
    let end_of_frame = DecodeError::Malformed(postcard::Error::DeserializeUnexpectedEnd);
    assert_eq!(decode(&frame[..5]), Err(end_of_frame.clone()));
    assert_eq!(decode(b""), Err(end_of_frame));
}

fn bytes(hex: &str) -> Vec<u8> {
    let hex = hex.replace(' ', "");
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("a byte");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Decodes a frame, and checks that encoding gives the same bytes again.
fn round_trip(hex: &str) -> Message {
    let frame = bytes(hex);
    let message = decode(&frame).expect(hex);
    assert_eq!(encode(&message).expect(hex), frame);
    message
}

#[test]
fn every_kind_of_message_keeps_its_bytes() {
    // Two partitions. Each boolean has the opposite value of that in the production fixtures.
    let capacity_request =
        "0000000000000440 000000000000f03f 0000000000003040 00 00 00 ac02 000000000000e03f 00";
    let partition = format!("ac02 f0a204 01 {capacity_request} 02 036d2d31 036d2d32");
    let state = round_trip(&format!(
        "02 00 026331 ac02 00 01 02 {partition} 00 00 00 00"
    ));
    let request = crate::fairness::Resources::new(2.5, 1.0, 16.0);
    let capacity_requests = vec![CapacityRequest {
        request,
        machine_types: None,
        zone: None,
        spot: false,
        count: 300,
        estimated_run_time_s: 0.5,
        needs_machine: false,
    }];
    let partition = |partition, term, capacity_requests, releasable_machines| PartitionState {
        received_at: Micros::ZERO,
        partition: PartitionId(partition),
        term: Term(term),
        capacity_requests,
        releasable_machines,
    };
    let full = partition(
        300,
        70_000,
        capacity_requests,
        vec!["m-1".into(), "m-2".into()],
    );
    let expected = PeerState {
        sender: "c1".into(),
        incarnation: Revision(300),
        store_reachable: false,
        workers_reachable: true,
        partitions: vec![full, partition(0, 0, vec![], vec![])],
    };
    assert_eq!(state, Message::PeerState(expected));
    let cancelled = Message::Cancelled {
        job: "j-412".into(),
        revision: Revision(70_000),
    };
    assert_eq!(round_trip("02 01 056a2d343132 f0a204"), cancelled);
}

#[test]
fn zone_evidence_keeps_its_bytes() {
    let zones = "02 0178 ac02 28 03 02 8101 0179 05 00 01 00 00";
    let evidence = round_trip(&format!("02 02 026331 ac02 f0a204 {zones}"));
    let counts =
        |zone: &str, [machines, silent, peers, silent_peers, waiting]: [u32; 5]| ZoneCounts {
            zone: zone.into(),
            machines,
            silent,
            peers,
            silent_peers,
            waiting,
        };
    let expected = ZoneEvidence {
        from: "c1".into(),
        incarnation: Revision(300),
        sequence: 70_000,
        zones: vec![
            counts("x", [300, 40, 3, 2, 129]),
            counts("y", [5, 0, 1, 0, 0]),
        ],
    };
    assert_eq!(evidence, Message::ZoneEvidence(expected));
    round_trip("02 02 00 00 00 00");
    assert_eq!(
        decode(&bytes("02 03 00")),
        Err(DecodeError::Malformed(postcard::Error::SerdeDeCustom)),
        "an unknown kind of message is malformed"
    );
}

#[test]
fn a_frame_follows_its_length_in_four_bytes() {
    use tokio_util::codec::Encoder;
    let mut sent = bytes::BytesMut::new();
    let frame = Bytes::from(bytes("0201036a2d3107"));
    framing()
        .encode(frame, &mut sent)
        .expect("the frame is within the maximum length");
    assert_eq!(sent[..], bytes("00000007 0201036a2d3107"));
}
