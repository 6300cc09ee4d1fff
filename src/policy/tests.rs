use super::*;
use crate::jobs::tests::desc;
use crate::settings::tests::settings;

pub fn standard() -> Policy {
    Policy::standard(&settings()).expect("the default is fine")
}

fn wrong(text: &str) -> String {
    Policy::parse(text, &settings())
        .expect_err(text)
        .to_string()
}

#[test]
fn a_file_replaces_what_it_names_and_the_rest_is_as_by_default() {
    let text = "silent_s = max(4 * report_s, 15); # patient\nidle_return_s = 2 + 3 * 4;";
    let p = Policy::parse(text, &settings()).expect("fine");
    assert_eq!(p.silent, Micros::from_secs(15.0));
    assert_eq!(p.idle_return, Micros::from_secs(14.0));
    assert_eq!(p.rent_horizon, standard().rent_horizon);
    assert_eq!(Policy::parse(DEFAULT, &settings()), Ok(standard()));
}

#[test]
fn a_job_is_weighed_by_what_it_is() {
    let text = r#"weight = if class == "train" and not (tasks > 10) then 2.5 else 1;
            spot = rank != "high" or estimate_s < 5;
            rent = clamp(tasks / max(estimate_s, 1), 0.5, 2);"#;
    let p = Policy::parse(text, &settings()).expect("fine");
    let small = p.job(&desc("j-1", 4));
    let rent = 0.5;
    assert_eq!(
        (small.weight, small.spot, small.scale_out_factor),
        (2.5, false, rent)
    );
    let large = p.job(&desc("j-1", 400));
    assert_eq!((large.weight, large.scale_out_factor), (1.0, 2.0));
    assert_eq!(standard().job(&desc("j-1", 4)), PolicyChoice::default());
}

#[test]
fn mistakes_are_located_and_refused_with_a_hint() {
    let hint = wrong("\n  idle_retrun_s = 5;");
    assert!(hint.starts_with("line 2, column 3:"), "{hint}");
    assert!(hint.contains("did you mean idle_return_s?"), "{hint}");
    let unknown = wrong("weight = clamp(estimat_s, 1, 2);");
    assert!(unknown.contains("did you mean estimate_s?"), "{unknown}");
    assert!(
        wrong("silent_s = tasks;").contains("unknown"),
        "no job there"
    );
    assert!(wrong("silent_s = 1;").contains("outside 2 to 600"));
    assert!(wrong("weight = tasks;").contains("clamp(..., 0.01, 100)"));
    assert!(wrong("rent = 1 / (cores - 1);").contains("divide by zero"));
    assert!(wrong("rent = 1 / 0;").contains("line 1, column 10"));
    assert!(wrong("spot = 1;").contains("true or false"));
    assert!(wrong("weight = if 1 then 1 else 2;").contains("true or false"));
    assert!(wrong("weight = if spot then 1 else 2;").contains("unknown"));
    assert!(wrong("spot = class == 3;").contains("compared"));
    assert!(wrong("spot = class < \"x\";").contains("number"));
    assert!(wrong("weight = 1").contains("; is missing"));
    assert!(wrong("weight = 1; weight = 2;").contains("twice"));
    assert!(wrong("weight = \"1;").contains("no end"));
    assert!(wrong("weight = 1.2.3;").contains("no number"));
    assert!(wrong("rent = clamp(1, 3, 2);").contains("least"));
    assert!(wrong("rent = min(1);").contains("arguments"));
    assert!(wrong("weight = ~1;").contains("means nothing"));
    let deep = format!("weight = {}1{};", "(".repeat(500), ")".repeat(500));
    assert!(wrong(&deep).contains("too deep"));
    assert!(wrong(&format!("weight = {}1;", "-".repeat(500))).contains("too deep"));
    assert!(wrong(&format!("weight = 1{};", "+1".repeat(9_000))).contains("too long"));
}

#[test]
fn a_fleet_is_divided_by_what_a_controller_can_carry() {
    let mut s = settings();
    s.platform.initial_size = 5;
    let mut blocks = |cores: f64, report_s: f64, share: f64| {
        s.platform.teams[0].cpus = cores / 2.0;
        s.platform.teams[1].cpus = cores / 2.0;
        s.platform.workers.heartbeat_interval_s = report_s;
        s.platform.limits.cpu_share = Some(share);
        standard().partition_count(&s)
    };
    assert_eq!(blocks(320.0, 3.0, 0.06), 1);
    assert_eq!(blocks(7_000.0, 8.0, 0.056), 1);
    assert_eq!(blocks(10_500.0, 8.0, 0.056), 2);
    assert_eq!(blocks(10_500.0, 4.0, 0.056), 3, "twice as many reports");
    assert_eq!(blocks(10_500.0, 8.0, 0.5), 1, "a larger controller");
    assert_eq!(blocks(1e6, 8.0, 0.056), 5, "one per controller at most");
}

#[test]
fn settings_and_the_names_that_expressions_may_use_are_these() {
    let settings_names = "block_load, idle_return_s, idle_return_ordinary_s, silent_s, rent_horizon_s, \
                          weight, rent, spot";
    let platform_names = "report_s, lease_s, cancel_s, controllers, guaranteed_cores, cpu_share";
    let job_names =
        "class, team, rank, tasks, cores, memory_gb, image_gb, estimate_s, due_s, has_deadline";
    let ends = |text: &str, known: &str| {
        let told = wrong(text);
        assert!(told.ends_with(&format!("(known are {known})")), "{told}");
    };
    ends("zzz = 1;", settings_names);
    ends("silent_s = zzz;", platform_names);
    ends("weight = zzz;", &format!("{platform_names}, {job_names}"));
}

#[test]
fn every_name_has_its_value_and_every_setting_its_place() {
    let text = r#"block_load = 101; idle_return_s = 102; idle_return_ordinary_s = 103; silent_s = 104;
        rent_horizon_s = 105; weight = 3; rent = 2;
        spot = not (class == "train" and team == "red" and rank == "high" and tasks == 4
            and cores == 2 and memory_gb == 4.5 and image_gb == 1 and estimate_s == 10
            and due_s == 60 and has_deadline and report_s == 3 and lease_s == 30
            and cancel_s == 61 and controllers == 5 and guaranteed_cores == 16
            and cpu_share == 0.1 and min(1, 2) < max(2, 1) and clamp(9, 1, 2) >= 2);"#;
    let mut s = settings();
    (
        s.platform.workers.cancellation_timeout_s,
        s.platform.initial_size,
    ) = (61.0, 5);
    let p = Policy::parse(text, &s).expect("fine");
    let times = [
        p.idle_return,
        p.idle_return_ordinary,
        p.silent,
        p.rent_horizon,
    ];
    assert_eq!(times.map(Micros::as_secs), [102.0, 103.0, 104.0, 105.0]);
    let mut job = desc("j-1", 4);
    job.memory_gb = 4.5;
    let PolicyChoice {
        weight,
        scale_out_factor: rent,
        spot,
    } = p.job(&job);
    assert_eq!((p.block_load, weight, rent, spot), (101.0, 3.0, 2.0, false));
    for (name, rank) in [
        ("idle", Priority::Idle),
        ("standard", Priority::Standard),
        ("production", Priority::Production),
    ] {
        job.priority = rank;
        let p = Policy::parse(&format!("spot = rank != \"{name}\";"), &s).expect("fine");
        assert!(!p.job(&job).spot, "{name}");
    }
}
