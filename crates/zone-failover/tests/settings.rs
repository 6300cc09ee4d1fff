//! Bad input is refused with its place and a remedy; windows follow the clocks of their zone.

#![expect(clippy::expect_used, reason = "helpers of tests fail by panicking")]

use jiff::civil::{Time, Weekday, date};
use jiff::tz::TimeZoneDatabase;
use rockdeal_types::clock::Micros;
use zone_failover::settings::{DeclaredState, RawSettings, Site};
use zone_failover::window::ReturnWindow;

fn check(text: &str) -> Result<Option<zone_failover::settings::Settings>, String> {
    let site = Site {
        zones: vec!["glenorchy-pump".into(), "huonville-yard".into()],
        classes: vec!["gauge-alerts".into()],
    };
    let raw: RawSettings = toml::from_str(text).map_err(|e| e.message().to_owned())?;
    raw.check(&site)
        .map_err(|e| format!("{}: {e}", &text[e.span.clone()]))
}

#[test]
fn what_is_not_set_keeps_its_default_and_off_is_the_default() {
    assert_eq!(check(""), Ok(None));
    let on = check("enabled = true").expect("fine").expect("on");
    assert_eq!(on, zone_failover::settings::Settings::default());
    let text = "enabled = true\nservices = [\"gauge-alerts\"]\n[health]\nlost-after = \"1m 30s\"\n\
                [[declared]]\nzone = \"huonville-yard\"\nstate = \"out\"";
    let on = check(text).expect("fine").expect("on");
    assert_eq!(on.health.lost_after, Micros::from_millis(90_000));
    assert_eq!(on.declared["huonville-yard"], DeclaredState::Out);
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn what_is_wrong_is_refused_even_where_the_subsystem_is_off() {
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
        let refused = check(text).expect_err(text);
        assert!(refused.contains(expected), "{text}: {refused}");
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
        let refused = check(&text).expect_err(window);
        assert!(refused.contains(expected), "{window}: {refused}");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one file with every key")]
fn every_key_is_read_from_its_place() {
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
    let raw: RawSettings = toml::from_str(text).expect("well formed");
    assert_eq!(raw.evacuation_priority().expect("given").0, "rank_level");
    let s = check(text).expect("fine").expect("on");
    let h = &s.health;
    let times = [h.suspect_after, h.lost_after, h.return_after, h.probation];
    assert_eq!(times.map(Micros::as_secs), [2.0, 5.0, 6.0, 11.0]);
    let times = [h.max_probation, h.quiet, h.probe_after, h.patience];
    assert_eq!(times.map(Micros::as_secs), [61.0, 660.0, 21.0, 31.0]);
    assert_eq!((h.lost_share, h.up_share, h.min_machines), (0.75, 0.25, 4));
    let w = &s.waves;
    assert_eq!(
        (w.machines, w.tasks, w.interval.as_secs()),
        (201, 2001, 1.5)
    );
    let r = &s.failback;
    let numbers = (r.move_running, r.tasks_per_team, r.min_gain);
    assert_eq!((numbers, r.period.as_secs()), ((true, 11, 2.5), 7200.0));
    use Weekday::*;
    let days = vec![
        Monday, Tuesday, Wednesday, Thursday, Friday, Saturday, Sunday,
    ];
    let windows = [("22:00", "05:00"), ("12:00", "13:00")];
    let windows = windows.map(|(from, to)| window(HOBART, days.clone(), from, to));
    assert_eq!(r.windows, windows);
    assert_eq!(s.services, ["gauge-alerts"]);
    let declared = |zone: &str| s.declared[zone];
    assert_eq!(declared("glenorchy-pump"), DeclaredState::In);
    assert_eq!(declared("huonville-yard"), DeclaredState::Out);
}

#[test]
fn every_table_knows_these_keys_and_no_other() {
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
    for (table, known) in cases {
        let refused = check(&format!("{table}zzz = 1")).expect_err(table);
        let (what, keys) = refused.split_once(", expected ").expect(table);
        assert_eq!(
            (what, keys.trim_start_matches("one of ")),
            ("unknown field `zzz`", known)
        );
    }
}

/// The time of day at a local time; `later`: the second of two that the clocks show.
fn at(zone: &str, local: jiff::civil::DateTime, later: bool) -> Micros {
    let time_zone = TimeZoneDatabase::bundled().get(zone).expect("a zone");
    let ambiguous = time_zone.to_ambiguous_timestamp(local);
    let resolved = if later {
        ambiguous.later()
    } else {
        ambiguous.earlier()
    };
    Micros(resolved.expect("a time").as_microsecond() as u64)
}

fn window(zone: &str, days: Vec<Weekday>, from: &str, to: &str) -> ReturnWindow {
    let time = |t| Time::strptime("%H:%M", t).expect("a time");
    ReturnWindow::new(zone, days, time(from), time(to)).expect("a window")
}

const HOBART: &str = "Australia/Hobart";

#[test]
fn a_window_over_midnight_belongs_to_the_day_on_which_it_begins() {
    let w = window(HOBART, vec![Weekday::Monday], "22:00", "05:00");
    let open = |wall_clock, hour, minute| {
        let local = date(2026, 12, wall_clock).at(hour, minute, 0, 0);
        w.is_open(at(HOBART, local, false))
    };
    // The 7th is a Monday.
    assert!(!open(7, 21, 59) && open(7, 22, 0) && open(8, 4, 59) && !open(8, 5, 0));
    assert!(!open(7, 4, 0) && !open(8, 23, 0));
}

#[test]
fn an_hour_that_is_missing_is_skipped() {
    // On 4 October 2026 Hobart's clocks go from 2:00 to 3:00.
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

#[test]
fn an_hour_that_comes_twice_counts_whole() {
    // On 5 April 2026 Hobart's clocks go from 3:00 back to 2:00.
    let local = |hour, minute, later| at(HOBART, date(2026, 4, 5).at(hour, minute, 0, 0), later);
    let begins = window(HOBART, vec![Weekday::Sunday], "02:30", "04:00");
    assert!(!begins.is_open(local(2, 29, false)) && begins.is_open(local(2, 30, false)));
    assert!(begins.is_open(local(2, 10, true)), "open all along");
    let ends = window(HOBART, vec![Weekday::Sunday], "01:00", "02:30");
    assert!(ends.is_open(local(2, 50, false)) && ends.is_open(local(2, 29, true)));
    assert!(!ends.is_open(local(2, 30, true)));
}
