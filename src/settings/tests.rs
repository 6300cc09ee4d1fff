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
    // 45 - 30.03 - 3: the owner's and the worker's lease both fit.
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
        let bytes = state.lowest_value_bytes();
        let rates = (state.lowest_rps(), state.lowest_write_rps());
        (bytes, state.lowest_txn_ops(), rates)
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
    assert_eq!((all.check(), all.max_mutations()), (Ok(()), 5));
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
    // A partition's record names all teams.
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

#[test]
fn every_field_is_read_from_its_place_in_the_file() {
    let text = r#"{"label": "c7", "bind": "127.0.0.1:9100", "mesh_addr": "127.0.0.2:9101", "new": 1,
        "seeds": [{"label": "c8", "area": "y", "addr": "127.0.0.3:9102", "new": 1},
            {"label": "c9", "addr": "127.0.0.4:9103"}],
        "endpoints": {"cloud": "127.0.0.5:9104", "state": "127.0.0.6:9105", "new": 1},
        "settings": {"initial_size": 3, "zones": ["x", "y"], "new": 1,
            "teams": [{"name": "red", "cpus": 8.5, "cpus_max": 16.5, "gpus": 1.5, "gpus_max": 2.5},
                {"name": "guest", "new": 1}],
            "objectives": [{"kind": "wait", "class": "train", "within_s": 12.5, "share": 0.9},
                {"kind": "new"}],
            "workers": {"report_s": 3.5, "lease_s": 31.5, "cancel_s": 61.5, "new": 1},
            "state": {"rps": 101.5, "write_rps": 31.5, "value_kb": 17.5, "txn_ops": 18, "new": 1,
                "next": {"rps": 91.5, "write_rps": 21.5, "value_kb": 7.5, "txn_ops": 8, "new": 1}},
            "cloud": {"rps": 4.5, "list_lag_s": 5.5, "new": 1},
            "limits": {"sockets": 1001, "ram_mb": 102.5, "cpu_share": 0.25, "new": 1}}}"#;
    let s: Settings = serde_json::from_str(text).expect("settings");
    assert_eq!(s.check(), Ok(()));
    let addresses = [s.bind, s.mesh_addr, s.seeds[0].addr, s.seeds[1].addr];
    let addresses = addresses
        .into_iter()
        .chain([s.endpoints.cloud, s.endpoints.state]);
    let ports: Vec<(u8, u16)> = addresses.map(|a| (a.ip().octets()[3], a.port())).collect();
    let expected = [
        (1, 9100),
        (2, 9101),
        (3, 9102),
        (4, 9103),
        (5, 9104),
        (6, 9105),
    ];
    assert_eq!(ports, expected);
    let labels: Vec<&str> = s.controllers().map(Label::as_str).collect();
    assert_eq!(labels, ["c7", "c8", "c9"]);
    let zones = (s.seeds[0].zone.clone(), s.seeds[1].zone.clone());
    assert_eq!(zones, (Some(ZoneId::from("y")), None));
    let p = &s.platform;
    assert_eq!((p.initial_size, p.zones.join(" ")), (3, "x y".to_owned()));
    let of = |t: &Team| (t.name.clone(), [t.cpus, t.cpus_max, t.gpus, t.gpus_max]);
    assert_eq!(of(&p.teams[0]), ("red".into(), [8.5, 16.5, 1.5, 2.5]));
    assert_eq!(of(&p.teams[1]), ("guest".into(), [0.0; 4]));
    let of = |o: &ServiceLevelObjective| (o.kind.clone(), o.class.clone(), o.within_s);
    assert_eq!(
        of(&p.objectives[0]),
        ("wait".into(), Some("train".into()), Some(12.5))
    );
    assert_eq!(of(&p.objectives[1]), ("new".into(), None, None));
    assert_eq!(
        s.start_latency_objective("train"),
        Some(Micros::from_secs(12.5))
    );
    let w = &p.workers;
    assert_eq!([w.report_s, w.lease_s, w.cancel_s], [3.5, 31.5, 61.5]);
    let now = &p.state;
    assert_eq!([now.rps, now.write_rps, now.value_kb], [101.5, 31.5, 17.5]);
    let next = now.next.as_ref().expect("coming limits");
    let rates = [next.rps, next.write_rps, next.value_kb];
    assert_eq!(rates, [Some(91.5), Some(21.5), Some(7.5)]);
    assert_eq!((now.txn_ops, next.txn_ops), (18, Some(8)));
    assert_eq!([p.cloud.rps, p.cloud.list_lag_s], [4.5, 5.5]);
    let limits = (p.limits.sockets, p.limits.ram_mb, p.limits.cpu_share);
    assert_eq!(limits, (1001, Some(102.5), Some(0.25)));
}
