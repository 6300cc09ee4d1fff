use super::*;
use crate::settings::tests::example;
use serde_json::json;

fn settings() -> Settings {
    let mut value = example();
    value["settings"]["objectives"] =
        json!([{"kind": "deadline", "class": "gauge-alerts", "share": 0.9, "times": 1.0}]);
    serde_json::from_value(value).expect("well formed")
}

fn refused(text: &str) -> String {
    let error = Subsystems::parse(text, &settings()).expect_err(text);
    let told = error.to_string();
    assert!(!told.contains('\n'), "one line: {told}");
    told
}

#[test]
fn an_empty_file_turns_nothing_on() {
    let subsystems = Subsystems::parse("", &settings()).expect("fine");
    assert!(subsystems.names().is_empty());
    let on = Subsystems::parse("[zone-failover]\nenabled = true", &settings()).expect("fine");
    assert_eq!(on.names(), ["zone-failover"]);
}

#[test]
fn the_file_that_is_deployed_is_fine() {
    let text = include_str!("../../deploy/subsystems.toml");
    let subsystems = Subsystems::parse(text, &settings()).expect("fine");
    assert!(subsystems.names().is_empty(), "off until it is chosen");
}

#[test]
fn what_is_wrong_is_told_with_its_place() {
    let cases = [
        ("[zone-fail]", "line 1, column 2: unknown field `zone-fail`"),
        ("[zone-failover", "line 1, column 15"),
        (
            "\n[zone-failover.health]\nlost-after = \"100ms\"",
            "line 3, column 14: lost-after is 0.1 s; choose from 1 s to 3600 s",
        ),
        (
            "[zone-failover]\ndeclared = [{ zone = \"w\", state = \"out\" }]",
            "line 2, column 22: zone \"w\" is unknown; known are x, y",
        ),
    ];
    for (text, expected) in cases {
        let told = refused(text);
        assert!(told.starts_with(expected), "{text}: {told}");
    }
}

#[test]
fn the_order_of_evacuation_is_checked_as_any_expression_of_operators() {
    let with = |expression: &str| format!("[zone-failover]\nevacuation-priority = '{expression}'");
    for fine in [
        "rank_level",
        "if class == \"gauge-alerts\" then 9 else waited_s / 60",
    ] {
        Subsystems::parse(&with(fine), &settings()).expect(fine);
    }
    let cases = [
        ("rank_levle", "did you mean rank_level?"),
        ("rank_level / tasks - tasks / due_s", "divide by zero"),
        ("has_deadline", "must be a number, and is true or false"),
        ("rank_level; weight = 1", "only one expression"),
        ("", "a value is missing here"),
    ];
    for (expression, expected) in cases {
        let told = refused(&with(expression));
        assert!(told.contains(expected), "{expression}: {told}");
        assert!(
            told.starts_with("line 2, column 23: evacuation-priority: line 1"),
            "{told}"
        );
    }
}

#[test]
fn the_file_that_is_deployed_names_the_values_that_hold_without_it() {
    let text = include_str!("../../deploy/subsystems.toml");
    let on = text.replace("enabled = false", "enabled = true");
    let deployed = Subsystems::parse(&on, &settings()).expect("fine");
    let short = Subsystems::parse("[zone-failover]\nenabled = true", &settings()).expect("fine");
    let parts = |s: &Subsystems| {
        let config = s.zone_failover.clone().expect("on");
        (config.settings.clone(), config.order.clone())
    };
    assert_eq!(parts(&deployed), parts(&short));
    // What is commented out is fine, too.
    let all = on.replace("# [[", "[[");
    let names = ["time-zone", "days", "from", "to", "zone", "state"];
    let all = names.iter().fold(all, |t, n| {
        t.replace(&format!("# {n} = "), &format!("{n} = "))
    });
    let all = all.replace("huonville-yard", "x");
    let (all, _) = parts(&Subsystems::parse(&all, &settings()).expect("fine"));
    assert_eq!((all.failback.windows.len(), all.declared.len()), (1, 1));
}

#[test]
fn an_order_of_evacuation_may_use_these_names() {
    let told = refused("[zone-failover]\nevacuation-priority = 'zzz'");
    let names = "known are report_s, lease_s, cancel_s, controllers, guaranteed_cores, cpu_share, \
                 class, team, rank, tasks, cores, memory_gb, image_gb, estimate_s, due_s, has_deadline, \
                 rank_level, keeps_deadline, waited_s, service";
    assert!(told.contains(names), "{told}");
    assert!(refused("zzz = 1").ends_with("unknown field `zzz`, expected `zone-failover`"));
}
