use super::*;
use crate::cloud::MachineType;
use crate::ids::Label;
use crate::settings::tests::settings;

pub fn body() -> serde_json::Value {
    serde_json::json!({
        "id": "j-000412", "lot": "train", "crew": "red", "form": "sweep", "rank": "high", "hands": 4,
        "cores": 2.0, "cards": 0.0, "memGb": 4.0, "deck": "img-07", "sizeGb": 1.0,
        "builds": null, "yard": null, "oneZone": false, "apart": false, "loaners": true,
        "reckonS": 10.0, "markS": 0.0, "stowS": 0.0, "dueS": 60.0, "new": "field"
    })
}

pub fn desc(id: &str, tasks: u32) -> JobDesc {
    let mut b = body();
    b["id"] = id.into();
    b["hands"] = tasks.into();
    JobDesc::parse(b.to_string().as_bytes()).expect("well formed")
}

pub fn rec(id: &str, tasks: u32, born: Term) -> JobRecord {
    JobRecord {
        desc: desc(id, tasks),
        accepted_at: Micros(0),
        accepted_term: born,
    }
}

pub fn types() -> Vec<MachineType> {
    serde_json::from_value(serde_json::json!([
        {"name": "small", "cores": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
         "price": 0.2, "lowPrice": 0.1, "readyS": 30.0, "yards": ["x", "y"]},
        {"name": "big", "cores": 16.0, "cards": 0.0, "memGb": 64.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
         "price": 0.8, "lowPrice": 0.3, "readyS": 30.0, "yards": ["x"]}
    ]))
    .expect("well formed")
}

#[test]
fn bad_input_is_malformed() {
    let parse = |v: &serde_json::Value| JobDesc::parse(v.to_string().as_bytes());
    assert!(parse(&body()).is_ok());
    assert!(matches!(JobDesc::parse(b"{"), Err(Refusal::Malformed(_))));
    assert!(matches!(JobDesc::parse(b"[]"), Err(Refusal::Malformed(_))));
    let cases = [
        ("hands", serde_json::json!(0)),
        ("hands", serde_json::json!(100_001)),
        ("hands", serde_json::json!(1.5)),
        ("cores", serde_json::json!(-1.0)),
        ("cores", serde_json::json!("2")),
        ("memGb", serde_json::json!(null)),
        ("dueS", serde_json::json!(-3.0)),
        ("id", serde_json::json!("job 1")),
        ("rank", serde_json::json!("urgent")),
        ("form", serde_json::json!("gang")),
        ("oneZone", serde_json::json!(null)),
    ];
    for (field, value) in cases {
        let mut b = body();
        b[field] = value.clone();
        assert!(
            matches!(parse(&b), Err(Refusal::Malformed(_))),
            "{field} = {value}"
        );
    }
    for field in body().as_object().expect("an object").keys() {
        let may_lack = ["builds", "yard", "dueS", "new"].contains(&field.as_str());
        let (mut without, mut null) = (body(), body());
        without.as_object_mut().expect("an object").remove(field);
        null[field] = serde_json::Value::Null;
        for b in [without, null] {
            let malformed = matches!(parse(&b), Err(Refusal::Malformed(_)));
            assert_eq!(malformed, !may_lack, "without {field}");
        }
    }
    assert!(JobDesc::parse(br#"{"cores":1e999}"#).is_err());
}

#[test]
fn what_can_never_run_is_told_apart() {
    let s = settings();
    assert_eq!(desc("j-1", 4).admissible(&s, &types()), Ok(()));
    let check = |change: &dyn Fn(&mut JobDesc)| {
        let mut d = desc("j-1", 4);
        change(&mut d);
        matches!(d.admissible(&s, &types()), Err(Refusal::NeverRuns(_)))
    };
    assert!(check(&|d| d.team = "green".into()));
    assert!(check(&|d| d.cores = 17.0));
    assert!(check(&|d| d.memory_gb = 65.0));
    assert!(check(&|d| d.zone = Some("nowhere".into())));
    assert!(check(&|d| d.machine_types = Some(vec![])));
    assert!(check(&|d| d.class = "x".repeat(17_000)));
    assert!(check(&|d| {
        d.zone = Some("y".into());
        d.cores = 8.0;
    }));
    assert!(check(&|d| d.machine_types = Some(vec!["huge".into()])));
    // Apart, and yet in one zone: by its own words, or since no other has the type.
    assert!(check(&|d| (d.anti_affinity, d.single_zone) = (true, true)));
    assert!(check(
        &|d| (d.anti_affinity, d.zone) = (true, Some("x".into()))
    ));
    assert!(check(
        &|d| (d.anti_affinity, d.machine_types) = (true, Some(vec!["big".into()]))
    ));
    assert!(check(&|d| (d.anti_affinity, d.cores) = (true, 8.0)));
    assert!(!check(&|d| d.anti_affinity = true));
    assert!(!check(
        &|d| (d.anti_affinity, d.single_zone, d.tasks) = (true, true, 1)
    ));
}

#[test]
fn finished_tasks_of_a_large_job_are_split_over_keys() {
    for value_kb in [1.0, 16.0, 32.0] {
        let page = page_tasks(value_kb);
        let mut job = Job::new(&rec("j-1", MOST_TASKS, Term(1)), Revision(1), 0, page);
        // The worst pattern: every other task of the whole job.
        for i in (0..MOST_TASKS).step_by(2) {
            job.finish(i);
        }
        let (mut largest, mut writes) = (0, 0);
        let mut later = Job::new(&rec("j-1", MOST_TASKS, Term(1)), Revision(1), 0, 999);
        while (0..MOST_TASKS)
            .step_by(page as usize)
            .any(|i| job.is_dirty(i))
        {
            let (compares, mutations, pages) = job.progress_ops(&Label::from("c0"), 7);
            assert!(mutations.len() <= 7 && compares.len() == mutations.len() + 1);
            for (op, page) in mutations.into_iter().zip(pages) {
                let Mutation::Set { value, .. } = op else {
                    panic!("only sets")
                };
                largest = largest.max(value.to_string().len());
                writes += 1;
                let rec = serde_json::from_value(value).expect("a page");
                later.recall(page, Revision(writes), &rec);
            }
        }
        assert!((largest as f64) < value_kb * 1024.0, "{largest}");
        assert_eq!(later.done, job.done, "nothing is lost between the pages");
    }
}

#[test]
fn an_ended_job_is_moved_in_one_transaction() {
    let mut job = Job::new(&rec("j-1", 2, Term(1)), Revision(1), 0, 512);
    job.finish(0);
    assert!(job.finish(1) && !job.finish(1));
    job.page_changed(0, Revision(5));
    assert!(job.all_done() && job.wants_write(Micros(1)));
    let (compares, mutations) = job.end_ops(Micros(7), 3);
    assert_eq!(mutations[0], store::delete("r/jobs/j-1".into()));
    assert!(matches!(&mutations[1], Mutation::Set { key, .. } if key == "ended/j-1"));
    assert_eq!(mutations[2], store::delete("r/done/j-1/0000".into()));
    assert_eq!(compares[0], compare("r/jobs/j-1".into(), Revision(1)));
    assert_eq!(
        job.end_ops(Micros(7), 2).1.len(),
        2,
        "a page left over is litter"
    );
}
/// Seen as 843 jobs of one task that started 120 s late to the second, when their bound
/// against starving let them pass the arrays of their team that came before them.
#[test]
fn small_jobs_without_a_deadline_pass_large_ones_and_all_have_their_turn() {
    let job = |tasks: u32, at: f64| {
        let mut record = rec("j-1", tasks, Term(1));
        record.accepted_at = Micros::from_secs(at);
        record.desc.deadline_s = None;
        Job::new(&record, Revision(1), 0, 64)
    };
    let now = Micros::from_secs(100.0);
    let (large, small) = (job(25_000, 10.0), job(1, 90.0));
    assert!(small.urgency(now) < large.urgency(now));
    assert!(
        job(2, 10.0).urgency(now) < small.urgency(now),
        "what has waited nine times as long may have twice the work"
    );
    // Where the class is to start within a time, the oldest comes first, as ever.
    let to_start = |mut job: Job| {
        job.start_latency_objective = Some(Micros::from_secs(70.0));
        job.urgency(now)
    };
    assert!(to_start(job(25_000, 10.0)) < to_start(job(1, 90.0)));
    // With a deadline that can be kept it comes before both, and after them if lost.
    let due = |due_s: f64| {
        let mut job = job(4, 10.0);
        Rc::make_mut(&mut job.desc).deadline_s = Some(due_s);
        job.urgency(now)
    };
    assert!(due(200.0) < to_start(job(1, 90.0)));
    assert!(due(20.0) > large.urgency(now));
}

#[test]
fn the_operators_choice_narrows_what_a_job_allows_and_orders_it() {
    let rec = |d: JobDesc| JobRecord {
        desc: d,
        accepted_at: Micros::ZERO,
        accepted_term: Term(1),
    };
    let job = |spot: bool, choice: JobChoice| {
        let mut d = desc("j-1", 4);
        d.spot = spot;
        d.deadline_s = Some(60.0);
        let mut job = Job::new(&rec(d), Revision(1), 0, 64);
        job.choose(choice);
        job
    };
    let normal = JobChoice::default();
    assert!(job(true, normal).desc.spot);
    let no_spot = JobChoice {
        spot: false,
        ..normal
    };
    assert!(!job(true, no_spot).desc.spot);
    assert!(!job(false, normal).desc.spot, "never widened");
    let heavy = JobChoice {
        weight: 4.0,
        ..normal
    };
    let now = Micros::from_secs(1.0);
    assert!(job(true, heavy).urgency(now) < job(true, normal).urgency(now));
}

#[test]
fn jobs_that_are_named_are_read_each_once_and_recorded_only_if_there_are_any() {
    let with = |named: serde_json::Value| {
        let mut b = body();
        b["hinges"] = named;
        JobDesc::parse(b.to_string().as_bytes())
    };
    let named = |v| with(v).map(|d| d.dependencies);
    let ids = |names: &[&str]| Ok(names.iter().map(|n| (*n).into()).collect());
    assert_eq!(
        named(serde_json::json!(["j-2", "j-1", "j-2"])),
        ids(&["j-2", "j-1"])
    );
    assert_eq!(named(serde_json::json!([])), ids(&[]));
    assert_eq!(named(serde_json::Value::Null), ids(&[]));
    let recorded = |named| {
        let desc = with(named).expect("well formed");
        let record = serde_json::to_value(desc).expect("a record");
        record.get("hinges").cloned()
    };
    assert_eq!(
        recorded(serde_json::json!([])),
        None,
        "as by earlier versions"
    );
    let one = serde_json::json!(["j-2"]);
    assert_eq!(recorded(one.clone()), Some(one));
}

#[test]
fn what_a_page_holds_is_recorded_in_parts_that_fit_and_joined_again() {
    let value_bytes = 2 * 1024;
    // As long as the version in production makes it, and of the worst pattern.
    let page = page_tasks(32.0);
    let tasks = 3 * page;
    let mut job = Job::new(&rec("j-1", tasks, Term(1)), Revision(1), 0, page);
    job.limit_values(value_bytes);
    for i in (0..tasks).step_by(2) {
        job.finish(i);
    }
    let mut later = Job::new(&rec("j-1", tasks, Term(1)), Revision(1), 0, page);
    let mut numbers = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let (compares, mutations, written) = job.progress_ops(&Label::from("dealer-0"), 5);
        assert!(mutations.len() <= 5 && compares.len() == mutations.len() + 1);
        assert_eq!(mutations.len(), written.len());
        for (op, number) in mutations.into_iter().zip(written) {
            let Mutation::Set { value, .. } = op else {
                panic!("only sets")
            };
            assert!(value.to_string().len() <= value_bytes);
            assert!(numbers.insert(number), "{number} is written twice");
            let record = serde_json::from_value(value).expect("a page");
            later.recall(number, Revision(9), &record);
        }
    }
    assert!((0..tasks).all(|i| !job.is_dirty(i)), "all is written");
    assert_eq!(later.done, job.done);
    // What was not written after all is written again, parts and all.
    let numbers: Vec<u32> = numbers.into_iter().collect();
    job.unwritten(&numbers);
    assert!((0..tasks).all(|i| job.is_dirty(i)));
    assert!(job.progress_ops(&Label::from("dealer-0"), 5).2.len() > 1);
}

#[test]
fn a_job_that_needs_others_waits_and_its_waiting_counts_from_their_end() {
    let mut record = rec("j-2", 2, Term(1));
    record.desc.dependencies = vec!["j-1".into()];
    let mut job = Job::new(&record, Revision(1), 0, 64);
    assert!(!job.wants_machines(), "until it is known");
    let at = Micros::from_secs(90.0);
    let done = dependencies::DoneAt {
        wall_clock: Some(at),
        revision: Revision(70),
    };
    assert!(job.set_readiness(&Readiness::Ready(done)));
    assert!(!job.set_readiness(&Readiness::Ready(done)), "no news");
    // An owner before the grant at revision 69 can't have begun it.
    assert!(job.may_have_begun_before(Term(2), Revision(70)));
    assert!(!job.may_have_begun_before(Term(2), Revision(69)));
    assert!(!job.may_have_begun_before(Term(1), Revision(70)));
    assert!(job.wants_machines());
    assert_eq!((job.eligible_since, job.last_start), (at, at));
    // The deadline counts from the submission all the same.
    assert_eq!(job.due(), Some(Micros::from_secs(60.0)));
    // Behind a cancelled one it ends as cancelled, without a task.
    assert!(job.set_readiness(&Readiness::Cancelled));
    assert!(!job.wants_machines() && job.wants_write(at) && !job.all_done());
    let (_, mutations) = job.end_ops(at, 5);
    let Mutation::Set { value, .. } = &mutations[1] else {
        panic!("its end")
    };
    assert_eq!(value["standing"], "cancelled");
}
