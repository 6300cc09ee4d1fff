//! Tests of job descriptions, of the order of jobs and of their records, and job data that tests of
//! other modules use.

use super::dependencies::{DoneAt, Readiness};
use super::*;
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::ids::{JobId, Label, Revision, Term};
use crate::settings::tests::settings;
use crate::store::{Compare, Mutation};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The body of a valid submission, with a field `new` that no version knows.
pub fn submission_body() -> serde_json::Value {
    serde_json::json!({
        "id": "j-000412", "lot": "train", "crew": "red", "form": "sweep", "rank": "high", "hands": 4,
        "cores": 2.0, "cards": 0.0, "memGb": 4.0, "deck": "img-07", "sizeGb": 1.0,
        "builds": null, "yard": null, "oneZone": false, "apart": false, "loaners": true,
        "reckonS": 10.0, "markS": 0.0, "stowS": 0.0, "dueS": 60.0, "new": "field"
    })
}

/// The description of a valid job with this id and this number of tasks.
pub fn job_desc(id: &str, tasks: u32) -> JobDesc {
    let mut body = submission_body();
    body["id"] = id.into();
    body["hands"] = tasks.into();
    JobDesc::parse(body.to_string().as_bytes()).expect("well formed")
}

/// The record of a valid job that was accepted at wall-clock time 0.
pub fn job_record(id: &str, tasks: u32, accepted_term: Term) -> JobRecord {
    JobRecord {
        desc: job_desc(id, tasks),
        accepted_at: Micros(0),
        accepted_term,
    }
}

/// Two machine types: `small` in the zones `x` and `y`, and `big` in the zone `x` only.
pub fn machine_types() -> Vec<MachineType> {
    serde_json::from_value(serde_json::json!([
        {"name": "small", "cores": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
         "price": 0.2, "lowPrice": 0.1, "readyS": 30.0, "yards": ["x", "y"]},
        {"name": "big", "cores": 16.0, "cards": 0.0, "memGb": 64.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
         "price": 0.8, "lowPrice": 0.3, "readyS": 30.0, "yards": ["x"]}
    ]))
    .expect("well formed")
}

/// Guards against jobs with missing or invalid fields that are accepted and can't be scheduled.
#[test]
fn missing_or_invalid_fields_are_malformed() {
    let parse = |body: &serde_json::Value| JobDesc::parse(body.to_string().as_bytes());
    assert!(parse(&submission_body()).is_ok());
    assert!(matches!(
        JobDesc::parse(b"{"),
        Err(MalformedJob::NotJson(_))
    ));
    assert!(matches!(
        JobDesc::parse(b"[]"),
        Err(MalformedJob::NotAnObject)
    ));
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
        let mut body = submission_body();
        body[field] = value.clone();
        assert!(parse(&body).is_err(), "{field} = {value}");
    }
    for field in submission_body().as_object().expect("an object").keys() {
        let is_optional = ["builds", "yard", "dueS", "new"].contains(&field.as_str());
        let (mut without, mut null) = (submission_body(), submission_body());
        without.as_object_mut().expect("an object").remove(field);
        null[field] = serde_json::Value::Null;
        for body in [without, null] {
            assert_eq!(parse(&body).is_err(), !is_optional, "without {field}");
        }
    }
    assert!(JobDesc::parse(br#"{"cores":1e999}"#).is_err());
}

/// Guards against jobs that are accepted and wait forever, because no machine type, team limit,
/// zone or value limit can satisfy them.
#[test]
fn unsatisfiable_jobs_are_refused() {
    let settings = settings();
    assert_eq!(
        job_desc("j-1", 4).admissible(&settings, &machine_types()),
        Ok(())
    );
    let is_refused = |change: &dyn Fn(&mut JobDesc)| {
        let mut desc = job_desc("j-1", 4);
        change(&mut desc);
        desc.admissible(&settings, &machine_types()).is_err()
    };
    assert!(is_refused(&|desc| desc.team = "green".into()));
    assert!(is_refused(&|desc| desc.cores = 17.0));
    assert!(is_refused(&|desc| desc.memory_gb = 65.0));
    assert!(is_refused(&|desc| desc.zone = Some("nowhere".into())));
    assert!(is_refused(&|desc| desc.machine_types = Some(vec![])));
    assert!(is_refused(&|desc| desc.class = "x".repeat(17_000)));
    assert!(is_refused(&|desc| {
        desc.zone = Some("y".into());
        desc.cores = 8.0;
    }));
    assert!(is_refused(
        &|desc| desc.machine_types = Some(vec!["huge".into()])
    ));
    // Anti-affinity with only one possible zone: because of the job's own fields, or because no
    // other zone has a fitting machine type.
    assert!(is_refused(
        &|desc| (desc.anti_affinity, desc.single_zone) = (true, true)
    ));
    assert!(is_refused(
        &|desc| (desc.anti_affinity, desc.zone) = (true, Some("x".into()))
    ));
    assert!(is_refused(&|desc| (
        desc.anti_affinity,
        desc.machine_types
    ) = (true, Some(vec!["big".into()]))));
    assert!(is_refused(
        &|desc| (desc.anti_affinity, desc.cores) = (true, 8.0)
    ));
    assert!(!is_refused(&|desc| desc.anti_affinity = true));
    assert!(!is_refused(&|desc| (
        desc.anti_affinity,
        desc.single_zone,
        desc.tasks
    ) = (true, true, 1)));
}

/// Guards against progress records of a large job that exceed the value limit of the store and can
/// therefore never be written.
#[test]
fn progress_of_a_large_job_is_split_into_pages_within_the_value_limit() {
    for value_kb in [1.0, 16.0, 32.0] {
        let page_tasks = tasks_per_page(value_kb);
        let mut job = Job::new(
            &job_record("j-1", MAX_TASKS, Term(1)),
            Revision(1),
            0,
            page_tasks,
        );
        // The worst pattern: every other task of the whole job is finished.
        for index in (0..MAX_TASKS).step_by(2) {
            job.finish(index);
        }
        let (mut largest_bytes, mut writes) = (0, 0);
        let mut restored = Job::new(&job_record("j-1", MAX_TASKS, Term(1)), Revision(1), 0, 999);
        while (0..MAX_TASKS)
            .step_by(page_tasks as usize)
            .any(|index| job.is_dirty(index))
        {
            let ProgressTransaction {
                compares,
                mutations,
                record_numbers,
            } = job.progress_transaction(&Label::from("c0"), 7);
            assert!(mutations.len() <= 7 && compares.len() == mutations.len() + 1);
            for (mutation, number) in mutations.into_iter().zip(record_numbers) {
                let Mutation::Set { value, .. } = mutation else {
                    panic!("only sets")
                };
                largest_bytes = largest_bytes.max(value.to_string().len());
                writes += 1;
                let record = serde_json::from_value(value).expect("a page");
                restored.restore_progress(number, Revision(writes), &record);
            }
        }
        assert!(
            (largest_bytes as f64) < value_kb * 1024.0,
            "{largest_bytes}"
        );
        assert_eq!(
            restored.done(),
            job.done(),
            "the restored tasks differ from the finished ones"
        );
    }
}

/// Guards against a job that is both live and ended, or neither, and against progress records that
/// are kept although there is room to delete them.
#[test]
fn end_transaction_replaces_the_live_record_and_deletes_pages() {
    let mut job = Job::new(&job_record("j-1", 2, Term(1)), Revision(1), 0, 512);
    job.finish(0);
    assert!(job.finish(1) && !job.finish(1));
    job.set_page_revision(0, Revision(5));
    assert!(job.all_done() && job.wants_write(Micros(1)));
    let (compares, mutations) = job.end_transaction(Micros(7), 3);
    assert_eq!(mutations[0], Mutation::delete("r/jobs/j-1".into()));
    assert!(matches!(&mutations[1], Mutation::Set { key, .. } if key == "ended/j-1"));
    assert_eq!(mutations[2], Mutation::delete("r/done/j-1/0000".into()));
    assert_eq!(compares[0], Compare::new("r/jobs/j-1".into(), Revision(1)));
    assert_eq!(
        job.end_transaction(Micros(7), 2).1.len(),
        2,
        "pages without room for their deletion are left to garbage collection"
    );
}

/// Guards against small jobs that wait behind large arrays of their team. In one run 843 jobs of
/// one task started exactly 120 s late, because only the starvation bound let them pass the arrays.
#[test]
fn urgency_orders_by_deadline_then_start_objective_then_work_per_wait() {
    let job = |tasks: u32, at: f64| {
        let mut record = job_record("j-1", tasks, Term(1));
        record.accepted_at = Micros::from_secs(at);
        record.desc.deadline_s = None;
        Job::new(&record, Revision(1), 0, 64)
    };
    let now = Micros::from_secs(100.0);
    let (large, small) = (job(25_000, 10.0), job(1, 90.0));
    assert!(small.urgency(now) < large.urgency(now));
    assert!(
        job(2, 10.0).urgency(now) < small.urgency(now),
        "a job that has waited nine times as long goes first with twice the work"
    );
    // If the class has a start-latency objective, the oldest job comes first.
    let with_start_objective = |mut job: Job| {
        job.start_latency_objective = Some(Micros::from_secs(70.0));
        job.urgency(now)
    };
    assert!(with_start_objective(job(25_000, 10.0)) < with_start_objective(job(1, 90.0)));
    // A job with a deadline comes before both if the deadline can be met, and after both if the
    // deadline is missed.
    let with_deadline = |deadline_s: f64| {
        let mut job = job(4, 10.0);
        Rc::make_mut(&mut job.desc).deadline_s = Some(deadline_s);
        job.urgency(now)
    };
    assert!(with_deadline(200.0) < with_start_objective(job(1, 90.0)));
    assert!(with_deadline(20.0) > large.urgency(now));
}

/// Guards against a policy that lets a job use spot machines although its user forbids them, and
/// against a weight without effect.
#[test]
fn policy_choice_narrows_spot_use_and_weighs_urgency() {
    let record = |desc: JobDesc| JobRecord {
        desc,
        accepted_at: Micros::ZERO,
        accepted_term: Term(1),
    };
    let job = |spot: bool, choice: PolicyChoice| {
        let mut desc = job_desc("j-1", 4);
        desc.spot = spot;
        desc.deadline_s = Some(60.0);
        let mut job = Job::new(&record(desc), Revision(1), 0, 64);
        job.apply_policy(choice);
        job
    };
    let normal = PolicyChoice::default();
    assert!(job(true, normal).desc.spot);
    let no_spot = PolicyChoice {
        spot: false,
        ..normal
    };
    assert!(!job(true, no_spot).desc.spot);
    assert!(
        !job(false, normal).desc.spot,
        "the policy allowed spot machines against the user's choice"
    );
    let heavy = PolicyChoice {
        weight: 4.0,
        ..normal
    };
    let now = Micros::from_secs(1.0);
    assert!(job(true, heavy).urgency(now) < job(true, normal).urgency(now));
}

/// Guards against records without dependencies that differ from those of earlier versions.
#[test]
fn dependencies_are_deduplicated_and_left_out_of_the_record_if_empty() {
    let parse_with = |named: serde_json::Value| {
        let mut body = submission_body();
        body["hinges"] = named;
        JobDesc::parse(body.to_string().as_bytes())
    };
    let dependencies = |named| parse_with(named).expect("well formed").dependencies;
    let ids = |names: &[&str]| -> Vec<JobId> { names.iter().map(|name| (*name).into()).collect() };
    assert_eq!(
        dependencies(serde_json::json!(["j-2", "j-1", "j-2"])),
        ids(&["j-2", "j-1"])
    );
    assert_eq!(dependencies(serde_json::json!([])), ids(&[]));
    assert_eq!(dependencies(serde_json::Value::Null), ids(&[]));
    let recorded = |named| {
        let desc = parse_with(named).expect("well formed");
        let record = serde_json::to_value(desc).expect("a record");
        record.get("hinges").cloned()
    };
    assert_eq!(
        recorded(serde_json::json!([])),
        None,
        "earlier versions write no such field"
    );
    let one = serde_json::json!(["j-2"]);
    assert_eq!(recorded(one.clone()), Some(one));
}

/// Guards against a page that can never be written: an earlier version, under a higher value limit,
/// chose pages so large that one may not fit into a value any more.
#[test]
fn page_exceeding_a_value_is_recorded_in_parts_and_restored() {
    let value_bytes = 2 * 1024;
    // Pages as large as the version in production makes them, with the worst pattern: every other
    // task is finished.
    let page_tasks = tasks_per_page(32.0);
    let tasks = 3 * page_tasks;
    let mut job = Job::new(
        &job_record("j-1", tasks, Term(1)),
        Revision(1),
        0,
        page_tasks,
    );
    job.limit_value_bytes(value_bytes);
    for index in (0..tasks).step_by(2) {
        job.finish(index);
    }
    let mut restored = Job::new(
        &job_record("j-1", tasks, Term(1)),
        Revision(1),
        0,
        page_tasks,
    );
    let mut numbers = BTreeSet::new();
    for _ in 0..3 {
        let ProgressTransaction {
            compares,
            mutations,
            record_numbers,
        } = job.progress_transaction(&Label::from("dealer-0"), 5);
        assert!(mutations.len() <= 5 && compares.len() == mutations.len() + 1);
        assert_eq!(mutations.len(), record_numbers.len());
        for (mutation, number) in mutations.into_iter().zip(record_numbers) {
            let Mutation::Set { value, .. } = mutation else {
                panic!("only sets")
            };
            assert!(value.to_string().len() <= value_bytes);
            assert!(numbers.insert(number), "{number} is written twice");
            let record = serde_json::from_value(value).expect("a page");
            restored.restore_progress(number, Revision(9), &record);
        }
    }
    assert!(
        (0..tasks).all(|index| !job.is_dirty(index)),
        "a page is still dirty"
    );
    assert_eq!(restored.done(), job.done());
    // Records that were not written are written again, including the extra parts of a page.
    let numbers: Vec<u32> = numbers.into_iter().collect();
    job.mark_unwritten(&numbers);
    assert!((0..tasks).all(|index| job.is_dirty(index)));
    let rewritten = job.progress_transaction(&Label::from("dealer-0"), 5);
    assert!(rewritten.record_numbers.len() > 1);
}

/// Guards against a job that starts before its dependencies are done or after one was cancelled,
/// and against an owner that waits for machines on which no earlier owner can have started the job.
#[test]
fn job_with_dependencies_is_eligible_from_their_end() {
    let mut record = job_record("j-2", 2, Term(1));
    record.desc.dependencies = vec!["j-1".into()];
    let mut job = Job::new(&record, Revision(1), 0, 64);
    assert!(
        !job.wants_machines(),
        "the dependencies are not known to be done"
    );
    let done_at = Micros::from_secs(90.0);
    let done = DoneAt {
        wall_clock: Some(done_at),
        revision: Revision(70),
    };
    assert!(job.set_readiness(&Readiness::Ready(done)));
    assert!(!job.set_readiness(&Readiness::Ready(done)), "no change");
    // An owner before the grant at revision 69 can't have started the job, because its dependencies
    // were done at revision 70.
    assert!(job.may_have_begun_before(Term(2), Revision(70)));
    assert!(!job.may_have_begun_before(Term(2), Revision(69)));
    assert!(!job.may_have_begun_before(Term(1), Revision(70)));
    assert!(job.wants_machines());
    assert_eq!(
        (job.eligible_since(), job.last_start_at),
        (done_at, done_at)
    );
    // The deadline is still measured from the submission.
    assert_eq!(job.effective_deadline(), Some(Micros::from_secs(60.0)));
    // If a dependency is cancelled, the job ends as cancelled without starting a task.
    assert!(job.set_readiness(&Readiness::Cancelled));
    assert!(!job.wants_machines() && job.wants_write(done_at) && !job.all_done());
    let (_, mutations) = job.end_transaction(done_at, 5);
    let Mutation::Set { value, .. } = &mutations[1] else {
        panic!("no ended record")
    };
    assert_eq!(value["standing"], "cancelled");
}

/// Guards against accidental changes of the texts that users read in the answer to a refused
/// submission.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn refusals_of_submissions_print_exactly_these_texts() {
    let malformed = |field: &str, value: serde_json::Value| {
        let mut body = submission_body();
        body[field] = value;
        let refusal = JobDesc::parse(body.to_string().as_bytes()).expect_err(field);
        SubmissionError::from(refusal).to_string()
    };
    let texts = [
        (
            "id",
            serde_json::json!("job 1"),
            "id must be j- followed by digits",
        ),
        (
            "hands",
            serde_json::json!(0),
            "hands must be from 1 to 100000",
        ),
        (
            "memGb",
            serde_json::json!(-1.0),
            "memGb must be finite and not negative",
        ),
        ("crew", serde_json::json!(""), "crew must not be empty"),
        (
            "oneZone",
            serde_json::json!(null),
            "a field is missing or invalid: invalid type: null, expected a boolean",
        ),
    ];
    for (field, value, text) in texts {
        assert_eq!(malformed(field, value), text);
    }
    let parse = |body: &[u8]| JobDesc::parse(body).expect_err("malformed").to_string();
    assert_eq!(parse(b"[]"), "not a JSON object");
    assert_eq!(
        parse(b"{"),
        "not JSON: EOF while parsing an object at line 1 column 1"
    );

    let settings = settings();
    let never_runs = |change: &dyn Fn(&mut JobDesc)| {
        let mut desc = job_desc("j-1", 4);
        change(&mut desc);
        let refusal = desc
            .admissible(&settings, &machine_types())
            .expect_err("refused");
        SubmissionError::from(refusal).to_string()
    };
    let too_many = |count: u32| (0..count).map(|number| format!("j-{number:08}").into());
    assert_eq!(
        never_runs(&|desc| desc.team = "green".into()),
        "unknown team green"
    );
    assert_eq!(
        never_runs(&|desc| desc.cores = 17.0),
        "the tasks that must run at the same time exceed their team's limit"
    );
    assert_eq!(
        never_runs(&|desc| desc.class = "x".repeat(17_000)),
        "the job description is too long to be stored"
    );
    assert_eq!(
        never_runs(&|desc| desc.dependencies = too_many(2_000).collect()),
        "the job depends on 2000 jobs, but only about 1219 can be stored"
    );
    assert_eq!(
        never_runs(&|desc| desc.machine_types = Some(vec![])),
        "one task does not fit on any allowed machine type in any allowed zone"
    );
    assert_eq!(
        never_runs(&|desc| (desc.anti_affinity, desc.single_zone) = (true, true)),
        "apart requires two zones, but the tasks are allowed in only one"
    );
    assert_eq!(
        UnsatisfiableJob::UnknownDependency("j-7".into()).to_string(),
        "the job depends on j-7, which was never accepted"
    );
}
