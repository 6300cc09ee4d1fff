//! How properties are tested: so many cases, or as many as `PROPTEST_CASES` says, and the
//! seed of one that fails is kept beside the test.

use proptest::test_runner::{Config, FileFailurePersistence};

pub fn cases(cases: u32) -> Config {
    let chosen = std::env::var_os("PROPTEST_CASES").map(|_| Config::default().cases);
    let kept = FileFailurePersistence::WithSource("regressions");
    Config {
        cases: chosen.unwrap_or(cases),
        failure_persistence: Some(Box::new(kept)),
        ..Config::default()
    }
}
