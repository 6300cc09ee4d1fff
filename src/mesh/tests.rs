use super::*;

#[test]
fn frames_round_trip_and_other_versions_are_skipped() {
    let news = PeerState {
        from: "c0".into(),
        incarnation: Revision(3),
        store_ok: true,
        hears_workers: true,
        blocks: vec![BlockState {
            at: Micros(0),
            block: BlockId(1),
            term: Term(4),
            needs: vec![],
            dead: vec!["m-1".into()],
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
