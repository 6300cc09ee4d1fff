use super::super::tests::settings;
use super::*;

#[test]
fn every_duty_has_its_bound_and_all_stay_below_the_limit() {
    let mut s = settings();
    for (limit, ram) in [(400, 32.0), (2470, 128.0), (2838, 158.0), (20_000, 4000.0)] {
        s.platform.limits.sockets = limit;
        s.platform.limits.ram_mb = Some(ram);
        let b = s.sockets().expect("enough");
        let fixed = STORE_SOCKETS + CLOUD_SOCKETS + OWN_SOCKETS + s.seeds.len();
        assert!(fixed + b.peers + b.direct + b.served <= limit);
        assert!(b.crowded < b.served);
    }
    s.platform.limits.sockets = 150;
    assert!(s.check().unwrap_err().contains("limits.sockets"));
}

#[test]
fn little_memory_lowers_what_is_served_and_too_little_is_refused() {
    let mut s = settings();
    s.platform.limits.sockets = 20_000;
    s.platform.limits.ram_mb = Some(64.0);
    let served = s.sockets().expect("enough").served;
    assert!(served < 2_000, "{served}");
    s.platform.limits.ram_mb = Some(2.0);
    assert!(s.check().unwrap_err().contains("limits.ram_mb"));
}
