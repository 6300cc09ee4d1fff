//! Guards against socket shares that exceed the limits of the process, and against limits too
//! low to serve users and workers being accepted.

use super::super::tests::settings;
use super::*;

#[test]
fn all_shares_together_stay_within_the_socket_limit() {
    let mut settings = settings();
    for (limit, ram) in [(400, 32.0), (2470, 128.0), (2838, 158.0), (20_000, 4000.0)] {
        settings.platform.limits.sockets = limit;
        settings.platform.limits.ram_mb = Some(ram);
        let shares = settings.socket_shares().expect("enough");
        let fixed = STORE_SOCKETS + CLOUD_SOCKETS + OWN_SOCKETS + settings.seeds.len();
        assert!(fixed + shares.peers + shares.direct_commands + shares.max_served <= limit);
        assert!(shares.worker_close_threshold < shares.max_served);
    }
    settings.platform.limits.sockets = 150;
    assert!(
        settings
            .check()
            .unwrap_err()
            .to_string()
            .contains("limits.sockets")
    );
}

#[test]
fn little_memory_lowers_the_served_share_and_too_little_is_refused() {
    let mut settings = settings();
    settings.platform.limits.sockets = 20_000;
    settings.platform.limits.ram_mb = Some(64.0);
    let served = settings.socket_shares().expect("enough").max_served;
    assert!(served < 2_000, "{served}");
    settings.platform.limits.ram_mb = Some(2.0);
    assert!(
        settings
            .check()
            .unwrap_err()
            .to_string()
            .contains("limits.ram_mb")
    );
}
