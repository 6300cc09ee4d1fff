use super::*;

pub fn example() -> serde_json::Value {
    serde_json::json!({
        "label": "c0", "area": "x", "bind": "127.0.0.1:9000", "mesh_addr": "127.0.0.1:9001",
        "seeds": [{"label": "c1", "area": "y", "addr": "127.0.0.1:9003"}],
        "endpoints": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
        "unknown": {"is": "ignored"},
        "settings": {
            "initial_size": 2,
            "zones": ["x", "y"],
            "teams": [
                {"name": "red", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "blue", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "workers": {"report_s": 3.0, "lease_s": 30.0, "cancel_s": 60.0},
            "state": {"rps": 100.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
            "limits": {"cpu_share": 0.1, "ram_mb": 100.0, "sockets": 1000},
            "clock_off_ms": 5.0
        }
    })
}

pub fn settings() -> Settings {
    serde_json::from_value(example()).expect("the example is well formed")
}

#[test]
fn the_example_is_accepted_and_unknown_fields_are_ignored() {
    assert_eq!(settings().check(), Ok(()));
    assert_eq!(settings().lease(), Micros::from_secs(20.0));
}

#[test]
fn a_lease_fits_under_the_cancellation_time_or_is_refused() {
    let mut s = settings();
    s.platform.workers.cancel_s = 45.0;
    assert!(s.check().is_ok());
    // 45 - 30.03 - 3: the holder's and the worker's lease both fit.
    assert_eq!(s.lease(), Micros(11_970_000));
    s.platform.workers.cancel_s = 32.0;
    assert!(s.check().unwrap_err().contains("no room for a lease"));
}

#[test]
fn contradictions_are_named() {
    let mut s = settings();
    s.platform.teams[0].cpus = 17.0;
    assert!(s.check().unwrap_err().contains("red"));
    let mut s = settings();
    s.platform.teams[1].name = "red".into();
    assert!(s.check().unwrap_err().contains("twice"));
}

#[test]
fn a_limit_of_0_is_none() {
    let mut s = settings();
    (s.platform.teams[0].cpus, s.platform.teams[0].cpus_max) = (0.0, 0.0);
    assert_eq!(s.check(), Ok(()));
    assert_eq!(s.platform.teams[0].limit().cores, f64::INFINITY);
    assert_eq!(s.platform.teams[1].limit().cores, 16.0);
    s.platform.teams[0].cpus = 8.0;
    assert_eq!(s.check(), Ok(()), "guaranteed, and not limited beyond");
}
