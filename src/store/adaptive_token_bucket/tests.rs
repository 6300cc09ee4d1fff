use super::*;

fn bucket(min: f64, max: f64, max_after_rejection: f64) -> AdaptiveTokenBucket {
    let bounds = RateBounds {
        min,
        max,
        max_after_rejection,
    };
    AdaptiveTokenBucket::new(bounds, Micros(0))
}

/// Guards against a controller that is held to its even share of the writes while the others
/// write almost nothing. One owner then used only two fifths of the store's write limit, and
/// one-task jobs waited for minutes to be recorded as done.
#[test]
fn the_rate_rises_to_its_maximum_and_decreases_after_a_rejection() {
    let mut bucket = bucket(12.0, 25.0, 25.0);
    let passed_in_second = |bucket: &mut AdaptiveTokenBucket, second: u64| {
        let at = |hundredth: u64| Micros(second * 1_000_000 + hundredth * 10_000);
        (0..100)
            .filter(|hundredth| bucket.take(at(*hundredth), 1.0, 0.0))
            .count()
    };
    passed_in_second(&mut bucket, 1);
    assert!(passed_in_second(&mut bucket, 2) <= 13);
    let later: usize = (3..60)
        .map(|second| passed_in_second(&mut bucket, second))
        .sum();
    assert!(later > 57 * 17, "{later} in 57 s");
    assert!((24..=25).contains(&passed_in_second(&mut bucket, 60)));
    bucket.record_rejection(Micros(61_000_000));
    bucket.record_rejection(Micros(61_100_000));
    assert!((17..=18).contains(&passed_in_second(&mut bucket, 61)));
    for rejected_second in 62..80 {
        bucket.record_rejection(Micros(rejected_second * 1_000_000));
    }
    assert!(passed_in_second(&mut bucket, 80) >= 12, "the minimum rate");
}

/// Guards against a rate that rises above an announced limit which has taken effect. The store
/// then rejected hundreds of requests in the minutes after its limit fell to 21 per second.
#[test]
fn after_a_rejection_the_rate_rises_to_the_announced_limit_only() {
    let rate_after = |max_after_rejection: f64| {
        let mut bucket = bucket(8.0, 25.0, max_after_rejection);
        let minute = Micros::from_secs(60.0);
        assert!(bucket.take(minute, 1.0, 0.0));
        assert_eq!(
            bucket.bucket.rate(),
            25.0,
            "the maximum before any rejection"
        );
        bucket.record_rejection(minute);
        assert!(bucket.bucket.rate() < 18.0);
        bucket.take(minute + minute, 1.0, 0.0);
        bucket.bucket.rate()
    };
    assert_eq!(rate_after(18.0), 18.0);
    assert_eq!(rate_after(25.0), 25.0, "no lower limit is announced");
}
