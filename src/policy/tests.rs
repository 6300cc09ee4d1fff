//! Guards against policy settings that are read wrongly or exceed their ranges, and against
//! errors without a position or a hint.

use super::*;
use crate::jobs::Priority;
use crate::jobs::tests::job_desc;
use crate::settings::tests::settings;

/// Returns the built-in policy for the example settings.
pub fn built_in() -> Policy {
    Policy::built_in(&settings()).expect("a valid default")
}

fn parse(text: &str) -> Policy {
    Policy::parse(text, &settings()).expect("a valid policy")
}

/// Returns the text of the error with which a policy is refused.
fn error(text: &str) -> String {
    Policy::parse(text, &settings())
        .expect_err(text)
        .to_string()
}

#[test]
fn file_overrides_named_settings_and_others_keep_their_defaults() {
    let text = "silent_s = max(4 * report_s, 15); # patient\nidle_return_s = 2 + 3 * 4;";
    let policy = parse(text);
    assert_eq!(policy.silence_timeout, Micros::from_secs(15.0));
    assert_eq!(policy.spot_idle_timeout, Micros::from_secs(14.0));
    assert_eq!(policy.scale_out_horizon, built_in().scale_out_horizon);
    assert_eq!(Policy::parse(DEFAULT, &settings()), Ok(built_in()));
}

#[test]
fn choice_for_a_job_depends_on_its_description() {
    let text = r#"weight = if class == "train" and not (tasks > 10) then 2.5 else 1;
            spot = rank != "high" or estimate_s < 5;
            rent = clamp(tasks / max(estimate_s, 1), 0.5, 2);"#;
    let policy = parse(text);
    let small = policy.choice_for(&job_desc("j-1", 4));
    let rent = 0.5;
    assert_eq!(
        (small.weight, small.spot, small.scale_out_factor),
        (2.5, false, rent)
    );
    let large = policy.choice_for(&job_desc("j-1", 400));
    assert_eq!((large.weight, large.scale_out_factor), (1.0, 2.0));
    assert_eq!(
        built_in().choice_for(&job_desc("j-1", 4)),
        PolicyChoice::default()
    );
}

#[test]
fn errors_name_position_and_hint() {
    let misspelt = error("\n  idle_retrun_s = 5;");
    assert!(misspelt.starts_with("line 2, column 3:"), "{misspelt}");
    assert!(
        misspelt.contains("did you mean idle_return_s?"),
        "{misspelt}"
    );
    let unknown = error("weight = clamp(estimat_s, 1, 2);");
    assert!(unknown.contains("did you mean estimate_s?"), "{unknown}");
    assert!(
        error("silent_s = tasks;").contains("unknown"),
        "a platform setting may not use the properties of a job"
    );
    assert!(error("silent_s = 1;").contains("must be from 2 to 600, got 1"));
    assert!(error("weight = tasks;").contains("clamp(..., 0.01, 100)"));
    assert!(error("rent = 1 / (cores - 1);").contains("divide by zero"));
    assert!(error("rent = 1 / 0;").contains("line 1, column 10"));
    assert!(error("spot = 1;").contains("true or false"));
    assert!(error("weight = if 1 then 1 else 2;").contains("true or false"));
    assert!(error("weight = if spot then 1 else 2;").contains("unknown"));
    assert!(
        error("spot = class == 3;").contains("different types are compared: a text and a number")
    );
    assert!(error("spot = class < \"x\";").contains("number"));
    assert!(error("weight = 1").contains("expected `;`"));
    assert!(error("weight = 1; weight = 2;").contains("twice"));
    assert!(error("weight = \"1;").contains("without a closing quote"));
    assert!(error("weight = 1.2.3;").contains("invalid number 1.2.3"));
    assert!(
        error("rent = clamp(1, 3, 2);").contains("lower bound of clamp may exceed its upper bound")
    );
    assert!(error("rent = min(1);").contains("arguments"));
    assert!(error("weight = ~1;").contains("unexpected character '~'"));
    let deep = format!("weight = {}1{};", "(".repeat(500), ")".repeat(500));
    assert!(error(&deep).contains("too deep"));
    assert!(error(&format!("weight = {}1;", "-".repeat(500))).contains("too deep"));
    assert!(
        error(&format!("weight = 1{};", "+1".repeat(9_000)))
            .contains("more than 300 binary operators")
    );
}

#[test]
fn partition_count_follows_the_maximum_load_of_a_controller() {
    let mut settings = settings();
    settings.platform.initial_size = 5;
    let mut partitions = |cores: f64, heartbeat_interval_s: f64, cpu_share: f64| {
        settings.platform.teams[0].cpus = cores / 2.0;
        settings.platform.teams[1].cpus = cores / 2.0;
        settings.platform.workers.heartbeat_interval_s = heartbeat_interval_s;
        settings.platform.limits.cpu_share = Some(cpu_share);
        built_in().partition_count(&settings)
    };
    assert_eq!(partitions(320.0, 3.0, 0.06), 1);
    assert_eq!(partitions(7_000.0, 8.0, 0.056), 1);
    assert_eq!(partitions(10_500.0, 8.0, 0.056), 2);
    assert_eq!(
        partitions(10_500.0, 4.0, 0.056),
        3,
        "twice as many heartbeats"
    );
    assert_eq!(partitions(10_500.0, 8.0, 0.5), 1, "a larger controller");
    assert_eq!(partitions(1e6, 8.0, 0.056), 5, "one per controller at most");
}

#[test]
fn names_of_settings_and_of_scopes_are_fixed() {
    let settings_names = "block_load, idle_return_s, idle_return_ordinary_s, silent_s, rent_horizon_s, \
                          weight, rent, spot";
    let platform_names = "report_s, lease_s, cancel_s, controllers, guaranteed_cores, cpu_share";
    let job_names =
        "class, team, rank, tasks, cores, memory_gb, image_gb, estimate_s, due_s, has_deadline";
    let assert_known = |text: &str, known: &str| {
        let error = error(text);
        assert!(error.ends_with(&format!("(known are {known})")), "{error}");
    };
    assert_known("zzz = 1;", settings_names);
    assert_known("silent_s = zzz;", platform_names);
    assert_known("weight = zzz;", &format!("{platform_names}, {job_names}"));
}

#[test]
fn every_name_has_its_value_and_every_setting_its_field() {
    let text = r#"block_load = 101; idle_return_s = 102; idle_return_ordinary_s = 103; silent_s = 104;
        rent_horizon_s = 105; weight = 3; rent = 2;
        spot = not (class == "train" and team == "red" and rank == "high" and tasks == 4
            and cores == 2 and memory_gb == 4.5 and image_gb == 1 and estimate_s == 10
            and due_s == 60 and has_deadline and report_s == 3 and lease_s == 30
            and cancel_s == 61 and controllers == 5 and guaranteed_cores == 16
            and cpu_share == 0.1 and min(1, 2) < max(2, 1) and clamp(9, 1, 2) >= 2);"#;
    let mut settings = settings();
    (
        settings.platform.workers.cancellation_timeout_s,
        settings.platform.initial_size,
    ) = (61.0, 5);
    let policy = Policy::parse(text, &settings).expect("a valid policy");
    let times = [
        policy.spot_idle_timeout,
        policy.on_demand_idle_timeout,
        policy.silence_timeout,
        policy.scale_out_horizon,
    ];
    assert_eq!(times.map(Micros::as_secs), [102.0, 103.0, 104.0, 105.0]);
    let mut job = job_desc("j-1", 4);
    job.memory_gb = 4.5;
    let PolicyChoice {
        weight,
        scale_out_factor,
        spot,
    } = policy.choice_for(&job);
    assert_eq!(
        (policy.max_partition_load, weight, scale_out_factor, spot),
        (101.0, 3.0, 2.0, false)
    );
    for (name, priority) in [
        ("idle", Priority::Idle),
        ("standard", Priority::Standard),
        ("production", Priority::Production),
    ] {
        job.priority = priority;
        let policy = Policy::parse(&format!("spot = rank != \"{name}\";"), &settings)
            .expect("a valid policy");
        assert!(!policy.choice_for(&job).spot, "{name}");
    }
}
