use super::*;

#[test]
fn ranges_join_split_and_count() {
    let mut s = RangeSet::default();
    for i in [5, 3, 4, 9, 8] {
        assert!(s.insert(i));
    }
    assert!(!s.insert(4));
    assert_eq!(s.pairs().collect::<Vec<_>>(), vec![(3, 6), (8, 10)]);
    assert_eq!(s.len(), 5);
    assert!(s.remove(4) && !s.remove(7));
    assert_eq!(s.pairs().collect::<Vec<_>>(), vec![(3, 4), (5, 6), (8, 10)]);
    assert_eq!(s.slice(5, 9), vec![(5, 6), (8, 9)]);
    assert_eq!(
        (s.len(), s.first(), s.contains(9), s.contains(4)),
        (4, Some(3), true, false)
    );
    s.add(0, 20);
    assert_eq!((s.len(), s.pairs().count()), (20, 1));
}
