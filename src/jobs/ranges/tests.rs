//! Tests of sets of task indexes. They guard against lost or duplicated indexes when ranges are
//! merged and split.

use super::*;

#[test]
fn ranges_merge_split_and_count() {
    let mut set = RangeSet::default();
    for index in [5, 3, 4, 9, 8] {
        assert!(set.insert(index));
    }
    assert!(!set.insert(4));
    assert_eq!(set.ranges().collect::<Vec<_>>(), vec![3..6, 8..10]);
    assert_eq!(set.len(), 5);

    assert!(set.remove(4) && !set.remove(7));
    assert_eq!(set.ranges().collect::<Vec<_>>(), vec![3..4, 5..6, 8..10]);
    assert_eq!(set.slice(5..9), vec![5..6, 8..9]);
    assert_eq!(
        (set.len(), set.first(), set.contains(9), set.contains(4)),
        (4, Some(3), true, false)
    );

    set.insert_range(0..20);
    assert_eq!((set.len(), set.ranges().count()), (20, 1));
}

#[test]
fn nth_counts_over_the_gaps_between_ranges() {
    let mut set = RangeSet::default();
    set.insert_range(2..4);
    set.insert_range(7..9);
    let members: Vec<Option<u32>> = (0..5).map(|position| set.nth(position)).collect();
    assert_eq!(members, [Some(2), Some(3), Some(7), Some(8), None]);
}
