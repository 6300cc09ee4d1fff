//! Guards against settings that are read under another name than the file's, and against
//! contradictory or too low settings being accepted.

use super::*;

/// Returns a valid settings file as JSON.
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

/// Returns the settings of the valid example.
pub fn settings() -> Settings {
    serde_json::from_value(example()).expect("the example is well formed")
}

#[test]
fn example_is_valid_and_unknown_fields_are_ignored() {
    assert_eq!(settings().check(), Ok(()));
    assert_eq!(settings().lease(), Micros::from_secs(20.0));
}

#[test]
fn lease_fits_into_the_cancellation_timeout_or_is_refused() {
    let mut settings = settings();
    settings.platform.workers.cancellation_timeout_s = 45.0;
    assert!(settings.check().is_ok());
    // 45 s - 30.03 s (the worker's lease with clock drift) - 3 s (the margin).
    assert_eq!(settings.lease(), Micros(11_970_000));
    settings.platform.workers.cancellation_timeout_s = 32.0;
    assert!(
        settings
            .check()
            .unwrap_err()
            .to_string()
            .contains("too little for a controller lease of at least 2 s")
    );
}

#[test]
fn contradictory_teams_are_refused_by_name() {
    let mut overcommitted = settings();
    overcommitted.platform.teams[0].cpus = 17.0;
    assert!(
        overcommitted
            .check()
            .unwrap_err()
            .to_string()
            .contains("red")
    );
    let mut duplicate = settings();
    duplicate.platform.teams[1].name = "red".into();
    assert!(duplicate.check().unwrap_err().to_string().contains("twice"));
}

#[test]
fn limit_of_zero_means_unlimited() {
    let mut settings = settings();
    (
        settings.platform.teams[0].cpus,
        settings.platform.teams[0].cpus_max,
    ) = (0.0, 0.0);
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(settings.platform.teams[0].limit().cores, f64::INFINITY);
    assert_eq!(settings.platform.teams[1].limit().cores, 16.0);
    settings.platform.teams[0].cpus = 8.0;
    assert_eq!(
        settings.check(),
        Ok(()),
        "a limit of 0 allows any guarantee"
    );
}

#[test]
fn upcoming_store_limits_apply_at_once_where_they_are_lower() {
    let with_next = |next: serde_json::Value| {
        let mut file = example();
        file["settings"]["state"]["next"] = next;
        serde_json::from_value::<Settings>(file).expect("well formed")
    };
    let effective = |settings: &Settings| {
        let state = &settings.platform.state;
        let bytes = state.lowest_value_bytes();
        let rates = (state.lowest_rps(), state.lowest_write_rps());
        (bytes, state.lowest_txn_ops(), rates)
    };
    let current = (16 * 1024, 16, (100.0, 30.0));
    assert_eq!(effective(&settings()), current);
    assert_eq!(effective(&with_next(serde_json::Value::Null)), current);
    assert_eq!(
        effective(&with_next(serde_json::json!({"new": 1}))),
        current
    );
    let partly = with_next(serde_json::json!({"value_kb": 2.0}));
    assert_eq!(effective(&partly), (2048, 16, (100.0, 30.0)));
    assert_eq!(partly.check(), Ok(()));
    let all = serde_json::json!({"value_kb": 2.0, "txn_ops": 5, "rps": 60.0, "write_rps": 21.0});
    let all = with_next(all);
    assert_eq!(effective(&all), (2048, 5, (60.0, 21.0)));
    assert_eq!((all.check(), all.max_mutations()), (Ok(()), 5));
    let larger = serde_json::json!({"value_kb": 64.0, "txn_ops": 48, "write_rps": 90.0});
    assert_eq!(effective(&with_next(larger)), current);
}

#[test]
fn upcoming_store_limits_that_are_too_low_are_refused() {
    let assert_refused = |next: serde_json::Value, field: &str| {
        let mut file = example();
        file["settings"]["state"]["next"] = next.clone();
        let settings: Settings = serde_json::from_value(file).expect("well formed");
        let message = settings.check().expect_err(&next.to_string()).to_string();
        assert!(
            message.contains(field) && !message.contains('\n'),
            "{message}"
        );
    };
    assert_refused(serde_json::json!({"txn_ops": 3}), "state.next.txn_ops");
    assert_refused(serde_json::json!({"value_kb": 0.5}), "state.next.value_kb");
    assert_refused(serde_json::json!({"value_kb": -1.0}), "state.next.value_kb");
    assert_refused(
        serde_json::json!({"write_rps": 0.0}),
        "state.next.write_rps",
    );
    assert_refused(serde_json::json!({"rps": -5.0}), "state.next.rps");
    // The owner record of a partition lists the names of all its teams, so many teams need a
    // larger value.
    let mut file = example();
    file["settings"]["state"]["next"] = serde_json::json!({"value_kb": 2.0});
    for number in 0..100 {
        let team = serde_json::json!({"name": format!("network-analytics-{number:03}")});
        file["settings"]["teams"]
            .as_array_mut()
            .expect("teams")
            .push(team);
    }
    let settings: Settings = serde_json::from_value(file).expect("well formed");
    assert!(
        settings
            .check()
            .expect_err("too many")
            .to_string()
            .contains("state.next.value_kb")
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one file with every field")]
fn every_field_is_read_by_its_name_in_the_file() {
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
    let settings: Settings = serde_json::from_str(text).expect("settings");
    assert_eq!(settings.check(), Ok(()));
    let addresses = [
        settings.bind,
        settings.mesh_addr,
        settings.seeds[0].addr,
        settings.seeds[1].addr,
    ];
    let addresses = addresses
        .into_iter()
        .chain([settings.endpoints.cloud, settings.endpoints.state]);
    let ports: Vec<(u8, u16)> = addresses
        .map(|address| (address.ip().octets()[3], address.port()))
        .collect();
    let expected = [
        (1, 9100),
        (2, 9101),
        (3, 9102),
        (4, 9103),
        (5, 9104),
        (6, 9105),
    ];
    assert_eq!(ports, expected);
    let labels: Vec<&str> = settings.controllers().map(Label::as_str).collect();
    assert_eq!(labels, ["c7", "c8", "c9"]);
    let zones = (
        settings.seeds[0].zone.clone(),
        settings.seeds[1].zone.clone(),
    );
    assert_eq!(zones, (Some(ZoneId::from("y")), None));
    let platform = &settings.platform;
    assert_eq!(
        (platform.initial_size, platform.zones.join(" ")),
        (3, "x y".to_owned())
    );
    let fields = |team: &Team| {
        let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
        (team.name.clone(), amounts)
    };
    assert_eq!(
        fields(&platform.teams[0]),
        ("red".into(), [8.5, 16.5, 1.5, 2.5])
    );
    assert_eq!(fields(&platform.teams[1]), ("guest".into(), [0.0; 4]));
    let fields = |objective: &ServiceLevelObjective| {
        let class = objective.class.clone();
        (objective.kind.clone(), class, objective.within_s)
    };
    assert_eq!(
        fields(&platform.objectives[0]),
        ("wait".into(), Some("train".into()), Some(12.5))
    );
    assert_eq!(fields(&platform.objectives[1]), ("new".into(), None, None));
    assert_eq!(
        settings.start_latency_objective("train"),
        Some(Micros::from_secs(12.5))
    );
    let workers = &platform.workers;
    let times = [
        workers.heartbeat_interval_s,
        workers.lease_s,
        workers.cancellation_timeout_s,
    ];
    assert_eq!(times, [3.5, 31.5, 61.5]);
    let now = &platform.state;
    assert_eq!([now.rps, now.write_rps, now.value_kb], [101.5, 31.5, 17.5]);
    let next = now.next.as_ref().expect("upcoming limits");
    let rates = [next.rps, next.write_rps, next.value_kb];
    assert_eq!(rates, [Some(91.5), Some(21.5), Some(7.5)]);
    assert_eq!((now.txn_ops, next.txn_ops), (18, Some(8)));
    assert_eq!([platform.cloud.rps, platform.cloud.list_lag_s], [4.5, 5.5]);
    let limits = (
        platform.limits.sockets,
        platform.limits.ram_mb,
        platform.limits.cpu_share,
    );
    assert_eq!(limits, (1001, Some(102.5), Some(0.25)));
}
