//! Tests of the operators' settings: defaults, every key of the file, the error texts for invalid
//! values, and return windows at changes of the local clocks.

#![expect(clippy::expect_used, reason = "helpers of tests fail by panicking")]

use jiff::civil::{Time, Weekday, date};
use jiff::tz::TimeZoneDatabase;
use rockdeal_types::clock::Micros;
use zone_failover::settings::{DeclaredState, RawSettings, Site};
use zone_failover::window::ReturnWindow;

/// Reads and checks a settings text. An error starts with the part of the text at its position.
fn check(text: &str) -> Result<Option<zone_failover::settings::Settings>, String> {
    let site = Site {
        zones: vec!["glenorchy-pump".into(), "huonville-yard".into()],
        classes: vec!["gauge-alerts".into()],
    };
    let raw: RawSettings = toml::from_str(text).map_err(|error| error.message().to_owned())?;
    raw.check(&site)
        .map_err(|error| format!("{}: {error}", &text[error.span.clone()]))
}

/// Guards against zone failover that is enabled without a setting, and against an omitted setting
/// that loses its default because another one in the table is set.
#[test]
fn omitted_settings_have_defaults_and_failover_is_disabled_by_default() {
    assert_eq!(check(""), Ok(None));
    let settings = check("enabled = true").expect("valid").expect("enabled");
    assert_eq!(settings, zone_failover::settings::Settings::default());
    let text = "enabled = true\nservices = [\"gauge-alerts\"]\n[health]\nlost-after = \"1m 30s\"\n\
                [[declared]]\nzone = \"huonville-yard\"\nstate = \"out\"";
    let settings = check(text).expect("valid").expect("enabled");
    assert_eq!(settings.health.lost_after, Micros::from_millis(90_000));
    assert_eq!(settings.declared["huonville-yard"], DeclaredState::Out);
}

/// Guards against invalid settings that are accepted, also while zone failover is disabled, and
/// against error texts that do not name the value and a remedy.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn invalid_settings_are_rejected_even_if_failover_is_disabled() {
    let cases = [
        ("enable = true", "unknown field `enable`"),
        ("[health]\nlost-after = 5", "invalid type: integer"),
        (
            "[health]\nlost-after = \"5 parsecs\"",
            "write a number with its unit",
        ),
        ("[health]\nlost-after = \"-5s\"", "is negative"),
        (
            "[health]\nlost-after = \"900h\"",
            "\"900h\": lost-after is 3240000 s; choose from 1 s to 3600 s",
        ),
        (
            "[health]\nlost-after = \"1s\"\nsuspect-after = \"2s\"",
            "lost-after (1 s) is not longer than suspect-after (2 s)",
        ),
        (
            "[health]\nprobation = \"20m\"",
            "most-probation (60 s) is shorter than probation (1200 s)",
        ),
        (
            "[health]\nlost-share = 1.5",
            "1.5: lost-share is 1.5; choose from 0.5 to 1",
        ),
        ("[health]\nlost-share = nan", "lost-share is NaN"),
        (
            "[health]\nup-share = 0.5\nlost-share = 0.5",
            "up-share (0.5) is not below lost-share (0.5)",
        ),
        ("[health]\nleast-machines = -1", "invalid value"),
        ("[health]\npatience = \"2m\"", "choose from 0 s to 60 s"),
        ("[waves]\nmachines = 0", "choose from 1 to 10000"),
        (
            "services = [\"gauge-alert\"]",
            "no objective of the settings file names class \"gauge-alert\"; did you mean gauge-alerts?",
        ),
        (
            "[[declared]]\nzone = \"huonville\"\nstate = \"out\"",
            "did you mean huonville-yard?",
        ),
        (
            "[[declared]]\nzone = \"huonville-yard\"\nstate = \"gone\"",
            "unknown variant `gone`",
        ),
        (
            "declared = [{zone = \"huonville-yard\", state = \"in\"}, {zone = \"huonville-yard\", state = \"out\"}]",
            "is declared twice",
        ),
        (
            "declared = [{zone = \"huonville-yard\", state = \"out\"}, {zone = \"glenorchy-pump\", state = \"out\"}]",
            "every zone is declared out",
        ),
    ];
    for (text, expected) in cases {
        let error = check(text).expect_err(text);
        assert!(error.contains(expected), "{text}: {error}");
    }
    let windows = [
        (
            "time-zone = \"Tasmania\", from = \"22:00\", to = \"05:00\"",
            "time zone \"Tasmania\" is unknown",
        ),
        (
            "time-zone = \"Australia/Hobart\", from = \"22:00\", to = \"22:00\"",
            "never open",
        ),
        (
            "time-zone = \"Australia/Hobart\", from = \"22:00\", to = \"05:00\", days = []",
            "never open",
        ),
        (
            "time-zone = \"Australia/Hobart\", from = \"25:00\", to = \"05:00\"",
            "\"25:00\" is not a time of day; write hours and minutes, as in \"22:30\"",
        ),
        (
            "time-zone = \"Australia/Hobart\", from = \"22:00\", to = \"05:00\", days = [\"mondays\"]",
            "did you mean monday?",
        ),
    ];
    for (window, expected) in windows {
        let text = format!("[return]\nwindow = [{{{window}}}]");
        let error = check(&text).expect_err(window);
        assert!(error.contains(expected), "{window}: {error}");
    }
}

/// Guards against keys that set the field of another key, or none. Every number and duration in the
/// file differs from its default.
#[test]
#[expect(clippy::too_many_lines, reason = "one file with every key")]
fn every_key_sets_its_own_field() {
    let text = r#"enabled = true
        evacuation-priority = "rank_level"
        services = ["gauge-alerts"]
        declared = [{ zone = "glenorchy-pump", state = "in" }, { zone = "huonville-yard", state = "out" }]
        [health]
        suspect-after = "2s"
        lost-after = "5s"
        return-after = "6s"
        probation = "11s"
        most-probation = "61s"
        quiet = "11m"
        probe-after = "21s"
        patience = "31s"
        lost-share = 0.75
        up-share = 0.25
        least-machines = 4
        [waves]
        machines = 201
        tasks = 2001
        interval = "1500ms"
        [return]
        move-running = true
        tasks-per-team = 11
        least-gain = 2.5
        period = "2h"
        [[return.window]]
        time-zone = "Australia/Hobart"
        days = ["monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday"]
        from = "22:00"
        to = "05:00"
        [[return.window]]
        time-zone = "Australia/Hobart"
        from = "12:00"
        to = "13:00""#;
    let raw: RawSettings = toml::from_str(text).expect("valid TOML");
    assert_eq!(
        raw.evacuation_priority().expect("an expression").0,
        "rank_level"
    );
    let settings = check(text).expect("valid").expect("enabled");
    let health = &settings.health;
    let durations = [
        health.suspect_after,
        health.lost_after,
        health.return_after,
        health.probation,
    ];
    assert_eq!(durations.map(Micros::as_secs), [2.0, 5.0, 6.0, 11.0]);
    let durations = [
        health.max_probation,
        health.quiet,
        health.probe_after,
        health.patience,
    ];
    assert_eq!(durations.map(Micros::as_secs), [61.0, 660.0, 21.0, 31.0]);
    assert_eq!(
        (health.lost_share, health.up_share, health.min_machines),
        (0.75, 0.25, 4)
    );
    let waves = &settings.waves;
    assert_eq!(
        (waves.machines, waves.tasks, waves.interval.as_secs()),
        (201, 2001, 1.5)
    );
    let failback = &settings.failback;
    let limits = (
        failback.move_running,
        failback.tasks_per_team,
        failback.min_gain,
    );
    assert_eq!(
        (limits, failback.period.as_secs()),
        ((true, 11, 2.5), 7200.0)
    );
    use Weekday::*;
    let days = vec![
        Monday, Tuesday, Wednesday, Thursday, Friday, Saturday, Sunday,
    ];
    let windows = [("22:00", "05:00"), ("12:00", "13:00")];
    let windows = windows.map(|(from, to)| window(HOBART, days.clone(), from, to));
    assert_eq!(failback.windows, windows);
    assert_eq!(settings.services, ["gauge-alerts"]);
    let declared = |zone: &str| settings.declared[zone];
    assert_eq!(declared("glenorchy-pump"), DeclaredState::In);
    assert_eq!(declared("huonville-yard"), DeclaredState::Out);
}

/// Guards against keys that are renamed, added or dropped unnoticed: the error about an unknown key
/// lists all keys that a table accepts.
#[test]
fn each_table_accepts_exactly_the_listed_keys() {
    let cases = [
        (
            "",
            "`enabled`, `evacuation-priority`, `services`, `health`, `waves`, `return`, `declared`",
        ),
        (
            "[health]\n",
            "`suspect-after`, `lost-after`, `return-after`, `probation`, `most-probation`, `quiet`, \
             `probe-after`, `patience`, `lost-share`, `up-share`, `least-machines`",
        ),
        ("[waves]\n", "`machines`, `tasks`, `interval`"),
        (
            "[return]\n",
            "`move-running`, `tasks-per-team`, `least-gain`, `period`, `window`",
        ),
        ("[[return.window]]\n", "`time-zone`, `days`, `from`, `to`"),
        ("[[declared]]\n", "`zone` or `state`"),
    ];
    for (table, accepted) in cases {
        let error = check(&format!("{table}zzz = 1")).expect_err(table);
        let (problem, keys) = error.split_once(", expected ").expect(table);
        assert_eq!(
            (problem, keys.trim_start_matches("one of ")),
            ("unknown field `zzz`", accepted)
        );
    }
}

/// The time of day at a local time. If the clocks show the local time twice, `second_occurrence`
/// selects the second one.
fn at(zone: &str, local: jiff::civil::DateTime, second_occurrence: bool) -> Micros {
    let time_zone = TimeZoneDatabase::bundled().get(zone).expect("a zone");
    let ambiguous = time_zone.to_ambiguous_timestamp(local);
    let resolved = if second_occurrence {
        ambiguous.later()
    } else {
        ambiguous.earlier()
    };
    Micros(resolved.expect("a time").as_microsecond() as u64)
}

fn window(zone: &str, days: Vec<Weekday>, from: &str, to: &str) -> ReturnWindow {
    let time = |text| Time::strptime("%H:%M", text).expect("a time");
    ReturnWindow::new(zone, days, time(from), time(to)).expect("a window")
}

const HOBART: &str = "Australia/Hobart";

/// Guards against a window past midnight that is closed after midnight, or that is open in the
/// early hours of the day on which it begins.
#[test]
fn window_past_midnight_belongs_to_the_day_it_begins_on() {
    let window = window(HOBART, vec![Weekday::Monday], "22:00", "05:00");
    let open = |day, hour, minute| {
        let local = date(2026, 12, day).at(hour, minute, 0, 0);
        window.is_open(at(HOBART, local, false))
    };
    // 7 December 2026 is a Monday.
    assert!(!open(7, 21, 59) && open(7, 22, 0) && open(8, 4, 59) && !open(8, 5, 0));
    assert!(!open(7, 4, 0) && !open(8, 23, 0));
}

/// Guards against a window that never opens or never closes because the clocks skip its boundary.
#[test]
fn window_boundary_in_skipped_hour_moves_to_the_clock_change() {
    // On 4 October 2026 the clocks in Hobart are set forward from 2:00 to 3:00.
    let local = |hour, minute| at(HOBART, date(2026, 10, 4).at(hour, minute, 0, 0), false);
    let begins = window(HOBART, vec![Weekday::Sunday], "02:30", "04:00");
    assert!(
        !begins.is_open(local(1, 59))
            && begins.is_open(local(3, 0))
            && !begins.is_open(local(4, 0))
    );
    let ends = window(HOBART, vec![Weekday::Sunday], "01:00", "02:30");
    assert!(ends.is_open(local(1, 59)) && !ends.is_open(local(3, 0)));
    let inside = window(HOBART, vec![Weekday::Sunday], "02:10", "02:50");
    assert!(
        (0..300).all(|minute| !inside.is_open(local(0, 0) + Micros::from_millis(60_000 * minute)))
    );
}

/// Guards against a window that closes between the two occurrences of an hour.
#[test]
fn window_boundary_in_repeated_hour_covers_both_occurrences() {
    // On 5 April 2026 the clocks in Hobart are set back from 3:00 to 2:00.
    let local = |hour, minute, second_occurrence| {
        at(
            HOBART,
            date(2026, 4, 5).at(hour, minute, 0, 0),
            second_occurrence,
        )
    };
    let begins = window(HOBART, vec![Weekday::Sunday], "02:30", "04:00");
    assert!(!begins.is_open(local(2, 29, false)) && begins.is_open(local(2, 30, false)));
    assert!(
        begins.is_open(local(2, 10, true)),
        "open from the first occurrence on"
    );
    let ends = window(HOBART, vec![Weekday::Sunday], "01:00", "02:30");
    assert!(ends.is_open(local(2, 50, false)) && ends.is_open(local(2, 29, true)));
    assert!(!ends.is_open(local(2, 30, true)));
}
