use super::*;

#[test]
fn sums_kept_machine_by_machine_equal_sums_made_anew() {
    let cap = Resources::new(16.0, 0.0, 64.0);
    let fleet = Resources::new(32.0, 0.0, 128.0);
    let mut load = Load::default();
    let mut kept = UsageByTeam::new(&[0, 1]);
    kept.add(&load, cap);
    for (team, cores) in [(0, 2.0), (1, 6.0), (0, 4.0)] {
        kept.remove(&load, cap);
        load.take(team, Resources::new(cores, 0.0, 4.0 * cores));
        kept.add(&load, cap);
    }
    let mut anew = UsageByTeam::new(&[0, 1]);
    anew.add(&load, cap);
    for t in [0, 1] {
        near(kept.of(t).endowed.cores, anew.of(t).endowed.cores);
        near(kept.of(t).used.memory_gb, anew.of(t).used.memory_gb);
    }
    // 6 of 12 cores requested: half of the machine, and the quota is half of the fleet.
    let (g, all) = (
        Resources::new(8.0, 0.0, 0.0),
        Resources::new(16.0, 0.0, 0.0),
    );
    near(kept.heaviness(0, g, all, fleet), 0.25 + 0.25 - 0.5);
    // A silent machine counts whole against each limit.
    kept.add(
        &Load {
            unknown: true,
            ..Load::default()
        },
        cap,
    );
    near(kept.of(1).used.cores, 6.0 + 16.0);
}

fn near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} is not {b}");
}

#[test]
fn endowments_share_out_the_whole_machine() {
    // A machine of 16 cores and 64 GB with requests (2, 8) and (6, 24):
    // the first has 16 * 2/8 = 4 cores and 64 * 8/32 = 16 GB.
    let (a, b) = (
        Resources::new(2.0, 0.0, 8.0),
        Resources::new(6.0, 0.0, 24.0),
    );
    let mut sum = a;
    sum += b;
    let cap = Resources::new(16.0, 0.0, 64.0);
    assert_eq!(endowment(a, cap, sum), Resources::new(4.0, 0.0, 16.0));
    assert_eq!(endowment(b, cap, sum), Resources::new(12.0, 0.0, 48.0));
    // Alone on the machine, a task is endowed with all of it.
    assert_eq!(endowment(a, cap, a), cap);
}

#[test]
fn s_sums_the_shares_of_what_the_fleet_has() {
    let fleet = Resources::new(100.0, 0.0, 400.0);
    near(
        static_heaviness(Resources::new(4.0, 0.0, 16.0), fleet),
        0.04 + 0.04,
    );
    // A resource that the fleet lacks counts nothing.
    near(
        static_heaviness(Resources::new(4.0, 3.0, 16.0), fleet),
        0.08,
    );
}

#[test]
fn quota_scales_the_guarantee_to_the_fleet() {
    let fleet = Resources::new(160.0, 0.0, 640.0);
    let all = Resources::new(320.0, 0.0, 0.0);
    let aq = actual_quota(Resources::new(32.0, 0.0, 0.0), fleet, all);
    assert_eq!(aq, Resources::new(16.0, 0.0, 0.0));
    assert_eq!(
        actual_quota(Resources::default(), fleet, Resources::default()),
        Resources::default()
    );
    // Heaviness: one task alone on a 16-core, 64 GB machine, less the quota.
    let endowed = endowment(
        Resources::new(2.0, 0.0, 8.0),
        Resources::new(16.0, 0.0, 64.0),
        Resources::new(2.0, 0.0, 8.0),
    );
    let heavy = static_heaviness(endowed, fleet);
    near(heavy - static_heaviness(aq, fleet), 0.1 + 0.1 - 0.1);
}

#[test]
fn fitting_counts_every_resource() {
    let task = Resources::new(2.0, 0.0, 7.3);
    assert_eq!(task.times_in(&Resources::new(16.0, 0.0, 64.0)), 8);
    assert_eq!(task.times_in(&Resources::new(16.0, 0.0, 20.0)), 2);
    assert!(!Resources::new(1.0, 1.0, 1.0).fits_in(&Resources::new(4.0, 0.0, 16.0)));
}
