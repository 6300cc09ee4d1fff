//! Guards against critical requests that an empty bucket holds back, and against requests for more
//! tokens than the bucket's capacity, which would otherwise never be admitted.

use super::*;

#[test]
fn a_negative_reserve_passes_when_the_bucket_is_empty() {
    let now = Micros(0);
    let mut bucket = TokenBucket::new(10.0, now);
    let taken = (0..20).filter(|_| bucket.take(now, 1.0, 0.35)).count();
    assert_eq!(taken, 6);
    assert!(bucket.take(now, 1.0, -1.0));
    assert!(!bucket.take(now, 1.0, 0.35));
    assert!(bucket.take(Micros(1_000_000), 1.0, 0.35));
}

#[test]
fn more_than_the_bucket_holds_is_taken_as_a_debt() {
    let mut bucket = TokenBucket::new(10.0, Micros(0));
    assert!(bucket.take(Micros(0), 16.0, 0.1));
    assert!(!bucket.take(Micros(700_000), 1.0, 0.1), "still in debt");
    assert!(bucket.take(Micros(800_000), 1.0, 0.1));
}
