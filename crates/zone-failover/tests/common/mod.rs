//! The configuration of property tests: the number of cases, and the file beside the test in which
//! the seeds of failed cases are stored.

use proptest::test_runner::{Config, FileFailurePersistence};

/// Returns a configuration that runs `cases` cases, or the number of cases in the environment
/// variable `PROPTEST_CASES` if it is set.
pub fn cases(cases: u32) -> Config {
    let from_environment = std::env::var_os("PROPTEST_CASES").map(|_| Config::default().cases);
    let persistence = FileFailurePersistence::WithSource("regressions");
    Config {
        cases: from_environment.unwrap_or(cases),
        failure_persistence: Some(Box::new(persistence)),
        ..Config::default()
    }
}
