//! Guards against subsystems that are enabled unintentionally, against a deployed file that
//! differs from the default settings, and against errors without their position.

use super::*;
use crate::settings::tests::example;
use serde_json::json;

/// Returns settings with an objective for one class of jobs.
fn settings() -> Settings {
    let mut value = example();
    value["settings"]["objectives"] =
        json!([{"kind": "deadline", "class": "gauge-alerts", "share": 0.9, "times": 1.0}]);
    serde_json::from_value(value).expect("well formed")
}

/// Returns the message with which a file is refused, which must be one line.
fn refusal_message(text: &str) -> String {
    let error = Subsystems::parse(text, &settings()).expect_err(text);
    let message = error.to_string();
    assert!(!message.contains('\n'), "one line: {message}");
    message
}

#[test]
fn empty_file_enables_no_subsystem() {
    let subsystems = Subsystems::parse("", &settings()).expect("a valid file");
    assert!(subsystems.names().is_empty());
    let on =
        Subsystems::parse("[zone-failover]\nenabled = true", &settings()).expect("a valid file");
    assert_eq!(on.names(), ["zone-failover"]);
}

#[test]
fn deployed_file_is_valid_and_enables_no_subsystem() {
    let text = include_str!("../../deploy/subsystems.toml");
    let subsystems = Subsystems::parse(text, &settings()).expect("a valid file");
    assert!(subsystems.names().is_empty(), "disabled by default");
}

#[test]
fn errors_name_their_position() {
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
        let message = refusal_message(text);
        assert!(message.starts_with(expected), "{text}: {message}");
    }
}

#[test]
fn evacuation_priority_is_checked_as_a_policy_expression() {
    let with = |expression: &str| format!("[zone-failover]\nevacuation-priority = '{expression}'");
    for valid in [
        "rank_level",
        "if class == \"gauge-alerts\" then 9 else waited_s / 60",
    ] {
        Subsystems::parse(&with(valid), &settings()).expect(valid);
    }
    let cases = [
        ("rank_levle", "did you mean rank_level?"),
        ("rank_level / tasks - tasks / due_s", "divide by zero"),
        (
            "has_deadline",
            "the expression must be a number, got a boolean",
        ),
        ("rank_level; weight = 1", "expected a single expression"),
        ("", "expected a value"),
    ];
    for (expression, expected) in cases {
        let message = refusal_message(&with(expression));
        assert!(message.contains(expected), "{expression}: {message}");
        assert!(
            message.starts_with("line 2, column 23: evacuation-priority: line 1"),
            "{message}"
        );
    }
}

#[test]
fn deployed_file_states_the_default_values() {
    let text = include_str!("../../deploy/subsystems.toml");
    let on = text.replace("enabled = false", "enabled = true");
    let deployed = Subsystems::parse(&on, &settings()).expect("a valid file");
    let short =
        Subsystems::parse("[zone-failover]\nenabled = true", &settings()).expect("a valid file");
    let parts = |subsystems: &Subsystems| {
        let config = subsystems.zone_failover.clone().expect("on");
        (config.settings.clone(), config.order.clone())
    };
    assert_eq!(parts(&deployed), parts(&short));
    // The settings that are commented out in the deployed file are valid, too.
    let all = on.replace("# [[", "[[");
    let names = ["time-zone", "days", "from", "to", "zone", "state"];
    let all = names.iter().fold(all, |text, name| {
        text.replace(&format!("# {name} = "), &format!("{name} = "))
    });
    let all = all.replace("huonville-yard", "x");
    let (all, _) = parts(&Subsystems::parse(&all, &settings()).expect("a valid file"));
    assert_eq!((all.failback.windows.len(), all.declared.len()), (1, 1));
}

#[test]
fn names_of_the_evacuation_scope_are_fixed() {
    let message = refusal_message("[zone-failover]\nevacuation-priority = 'zzz'");
    let names = "known are report_s, lease_s, cancel_s, controllers, guaranteed_cores, cpu_share, \
                 class, team, rank, tasks, cores, memory_gb, image_gb, estimate_s, due_s, has_deadline, \
                 rank_level, keeps_deadline, waited_s, service";
    assert!(message.contains(names), "{message}");
    assert!(refusal_message("zzz = 1").ends_with("unknown field `zzz`, expected `zone-failover`"));
}
