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
    assert_eq!((small.weight, small.spot, small.rent), (2.5, false, rent));
    let large = p.job(&desc("j-1", 400));
    assert_eq!((large.weight, large.rent), (1.0, 2.0));
    assert_eq!(standard().job(&desc("j-1", 4)), JobChoice::default());
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
        s.platform.workers.report_s = report_s;
        s.platform.limits.cpu_share = Some(share);
        standard().blocks(&s)
    };
    assert_eq!(blocks(320.0, 3.0, 0.06), 1);
    assert_eq!(blocks(7_000.0, 8.0, 0.056), 1);
    assert_eq!(blocks(10_500.0, 8.0, 0.056), 2);
    assert_eq!(blocks(10_500.0, 4.0, 0.056), 3, "twice as many reports");
    assert_eq!(blocks(10_500.0, 8.0, 0.5), 1, "a larger controller");
    assert_eq!(blocks(1e6, 8.0, 0.056), 5, "one per controller at most");
}
