//! Tests of the fairness formulas and of the usage that is updated incrementally.

use super::*;

/// Guards against usage that drifts from the machines' loads because an update adds or subtracts
/// a wrong amount.
#[test]
fn incrementally_updated_usage_equals_recomputed_usage() {
    let capacity = Resources::new(16.0, 0.0, 64.0);
    let fleet = Resources::new(32.0, 0.0, 128.0);
    let mut load = Load::default();
    let mut updated = UsageByTeam::new(&[0, 1]);
    updated.add(&load, capacity);
    for (team, cores) in [(0, 2.0), (1, 6.0), (0, 4.0)] {
        updated.remove(&load, capacity);
        load.add_request(team, Resources::new(cores, 0.0, 4.0 * cores));
        updated.add(&load, capacity);
    }
    let mut recomputed = UsageByTeam::new(&[0, 1]);
    recomputed.add(&load, capacity);
    for team in [0, 1] {
        assert_close(
            updated.of(team).endowed.cores,
            recomputed.of(team).endowed.cores,
        );
        assert_close(
            updated.of(team).used.memory_gb,
            recomputed.of(team).used.memory_gb,
        );
    }
    // Team 0 requests 6 of 12 requested cores, so it is endowed with half of the machine, which
    // is a quarter of the fleet's cores and memory. Its quota is half of the fleet's cores.
    let (guarantee, guarantees) = (
        Resources::new(8.0, 0.0, 0.0),
        Resources::new(16.0, 0.0, 0.0),
    );
    assert_close(
        updated.heaviness(0, guarantee, guarantees, fleet),
        0.25 + 0.25 - 0.5,
    );
    // A machine with an unknown load counts with its full capacity against each team's limit.
    updated.add(
        &Load {
            unknown: true,
            ..Load::default()
        },
        capacity,
    );
    assert_close(updated.of(1).used.cores, 6.0 + 16.0);
}

fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() < 1e-9,
        "{actual} is not {expected}"
    );
}

/// Guards against capacity of a machine that counts for no team, or for two.
#[test]
fn endowments_share_out_the_whole_machine() {
    // On a machine of 16 cores and 64 GB with the requests (2, 8) and (6, 24), the first task is
    // endowed with 16 * 2/8 = 4 cores and 64 * 8/32 = 16 GB.
    let (small, large) = (
        Resources::new(2.0, 0.0, 8.0),
        Resources::new(6.0, 0.0, 24.0),
    );
    let mut total = small;
    total += large;
    let capacity = Resources::new(16.0, 0.0, 64.0);
    assert_eq!(
        endowment(small, capacity, total),
        Resources::new(4.0, 0.0, 16.0)
    );
    assert_eq!(
        endowment(large, capacity, total),
        Resources::new(12.0, 0.0, 48.0)
    );
    // A task that is alone on a machine is endowed with all of it.
    assert_eq!(endowment(small, capacity, small), capacity);
}

/// Guards against a division by zero for a resource that no machine of the fleet has.
#[test]
fn static_heaviness_ignores_resources_that_the_fleet_lacks() {
    let fleet = Resources::new(100.0, 0.0, 400.0);
    assert_close(
        static_heaviness(Resources::new(4.0, 0.0, 16.0), fleet),
        0.04 + 0.04,
    );
    // The fleet has no accelerators, so they do not count.
    assert_close(
        static_heaviness(Resources::new(4.0, 3.0, 16.0), fleet),
        0.08,
    );
}

/// Guards against quotas that do not shrink with a fleet smaller than the sum of the guarantees,
/// and against a division by zero where nothing is guaranteed.
#[test]
fn quota_scales_the_guarantee_to_the_fleet() {
    let fleet = Resources::new(160.0, 0.0, 640.0);
    let guarantees = Resources::new(320.0, 0.0, 0.0);
    let quota = actual_quota(Resources::new(32.0, 0.0, 0.0), fleet, guarantees);
    assert_eq!(quota, Resources::new(16.0, 0.0, 0.0));
    assert_eq!(
        actual_quota(Resources::default(), fleet, Resources::default()),
        Resources::default()
    );
    // The heaviness of one task alone on a machine of 16 cores and 64 GB, less the quota.
    let endowed = endowment(
        Resources::new(2.0, 0.0, 8.0),
        Resources::new(16.0, 0.0, 64.0),
        Resources::new(2.0, 0.0, 8.0),
    );
    let heaviness = static_heaviness(endowed, fleet);
    assert_close(heaviness - static_heaviness(quota, fleet), 0.1 + 0.1 - 0.1);
}

/// Guards against a task on a machine that lacks any one of the resources that it requests.
#[test]
fn fitting_counts_every_resource() {
    let task = Resources::new(2.0, 0.0, 7.3);
    assert_eq!(task.times_in(&Resources::new(16.0, 0.0, 64.0)), 8);
    assert_eq!(task.times_in(&Resources::new(16.0, 0.0, 20.0)), 2);
    assert!(!Resources::new(1.0, 1.0, 1.0).fits_in(&Resources::new(4.0, 0.0, 16.0)));
}
