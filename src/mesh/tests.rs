use super::*;

#[test]
fn frames_round_trip_and_other_versions_are_skipped() {
    let news = PeerState {
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
    assert_eq!(decode(&frame), Some(cancelled));
    let news = Message::PeerState(news);
    let frame = encode(&news).expect("encodes");
    assert_eq!(decode(&frame), Some(news));
    let mut other = frame.to_vec();
    other[0] = 9;
    assert_eq!(decode(&other), None);
    assert_eq!(decode(&frame[..5]), None);
    assert_eq!(decode(b""), None);
}

fn bytes(hex: &str) -> Vec<u8> {
    let hex = hex.replace(' ', "");
    let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("a byte");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Read and written again, byte by byte as before.
fn round_trip(hex: &str) -> Message {
    let frame = bytes(hex);
    let message = decode(&frame).expect(hex);
    assert_eq!(encode(&message).expect(hex), frame);
    message
}

#[test]
fn every_kind_of_message_keeps_its_bytes() {
    // Two partitions, and of each yes or no the other one than in the production fixtures.
    let need =
        "0000000000000440 000000000000f03f 0000000000003040 00 00 00 ac02 000000000000e03f 00";
    let partition = format!("ac02 f0a204 01 {need} 02 036d2d31 036d2d32");
    let state = round_trip(&format!(
        "02 00 026331 ac02 00 01 02 {partition} 00 00 00 00"
    ));
    let request = crate::fairness::Resources::new(2.5, 1.0, 16.0);
    let needs = vec![CapacityRequest {
        request,
        machine_types: None,
        zone: None,
        spot: false,
        count: 300,
        estimated_run_time_s: 0.5,
        waited_long: false,
    }];
    let partition = |partition, term, needs, dead| PartitionState {
        received_at: Micros::ZERO,
        partition: PartitionId(partition),
        term: Term(term),
        capacity_requests: needs,
        releasable_machines: dead,
    };
    let full = partition(300, 70_000, needs, vec!["m-1".into(), "m-2".into()]);
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
    use zone_failover::evidence::ZoneCounts;
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
    assert_eq!(decode(&bytes("02 03 00")), None, "a kind that is not known");
}

#[test]
fn a_frame_follows_its_length_in_four_bytes() {
    use tokio_util::codec::Encoder;
    let mut sent = bytes::BytesMut::new();
    let frame = Bytes::from(bytes("0201036a2d3107"));
    codec().encode(frame, &mut sent).expect("it fits");
    assert_eq!(sent[..], bytes("00000007 0201036a2d3107"));
}
