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

#[test]
fn coming_limits_hold_from_the_start_where_they_are_smaller() {
    let with = |next: serde_json::Value| {
        let mut v = example();
        v["settings"]["state"]["next"] = next;
        serde_json::from_value::<Settings>(v).expect("well formed")
    };
    let lasting = |s: &Settings| {
        let state = &s.platform.state;
        let bytes = state.lasting_value_bytes();
        let rates = (state.lasting_rps(), state.lasting_write_rps());
        (bytes, state.lasting_txn_ops(), rates)
    };
    let today = (16 * 1024, 16, (100.0, 30.0));
    assert_eq!(lasting(&settings()), today);
    assert_eq!(lasting(&with(serde_json::Value::Null)), today);
    assert_eq!(lasting(&with(serde_json::json!({"new": 1}))), today);
    let partly = with(serde_json::json!({"value_kb": 2.0}));
    assert_eq!(lasting(&partly), (2048, 16, (100.0, 30.0)));
    assert_eq!(partly.check(), Ok(()));
    let all = serde_json::json!({"value_kb": 2.0, "txn_ops": 5, "rps": 60.0, "write_rps": 21.0});
    let all = with(all);
    assert_eq!(lasting(&all), (2048, 5, (60.0, 21.0)));
    assert_eq!((all.check(), all.most_changes()), (Ok(()), 5));
    let larger = serde_json::json!({"value_kb": 64.0, "txn_ops": 48, "write_rps": 90.0});
    assert_eq!(lasting(&with(larger)), today);
}

#[test]
fn coming_limits_that_leave_no_room_to_work_are_refused_before_the_start() {
    let refused = |next: serde_json::Value, names: &str| {
        let mut v = example();
        v["settings"]["state"]["next"] = next.clone();
        let s: Settings = serde_json::from_value(v).expect("well formed");
        let why = s.check().expect_err(&next.to_string());
        assert!(why.contains(names) && !why.contains('\n'), "{why}");
    };
    refused(serde_json::json!({"txn_ops": 3}), "state.next.txn_ops");
    refused(serde_json::json!({"value_kb": 0.5}), "state.next.value_kb");
    refused(serde_json::json!({"value_kb": -1.0}), "state.next.value_kb");
    refused(
        serde_json::json!({"write_rps": 0.0}),
        "state.next.write_rps",
    );
    refused(serde_json::json!({"rps": -5.0}), "state.next.rps");
    // A block's record names all teams.
    let mut v = example();
    v["settings"]["state"]["next"] = serde_json::json!({"value_kb": 2.0});
    for i in 0..100 {
        let team = serde_json::json!({"name": format!("network-analytics-{i:03}")});
        v["settings"]["teams"]
            .as_array_mut()
            .expect("teams")
            .push(team);
    }
    let s: Settings = serde_json::from_value(v).expect("well formed");
    assert!(
        s.check()
            .expect_err("too many")
            .contains("state.next.value_kb")
    );
}
