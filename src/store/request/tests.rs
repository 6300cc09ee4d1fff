//! Guards against sending a value that the store would reject for its size.

use super::*;

#[test]
fn a_value_above_the_size_limit_is_detected() {
    let set = |length: usize| Mutation::put(format!("a/{length}"), &"x".repeat(length));
    // The JSON quotes count, too: a string of 1,998 characters takes 2,000 bytes.
    let mutations = vec![Mutation::delete("a/0".into()), set(1_998), set(1_999)];
    let request = Request::CompareAndSwap {
        compares: Vec::new(),
        mutations,
    };
    let oversized = |key, bytes| Some(OversizedValue { key, bytes });
    assert_eq!(request.oversized_value(2_001), None);
    assert_eq!(request.oversized_value(2_000), oversized("a/1999", 2_001));
    assert_eq!(request.oversized_value(1_000), oversized("a/1998", 2_000));
    assert_eq!(request.keys(), ["a/0", "a/1998", "a/1999"]);
}
