use super::super::tests::{desc, rec};
use super::*;
use crate::ids::Term;
use crate::store::KeyValue;

fn secs(s: f64) -> Micros {
    Micros::from_secs(s)
}

/// As the records of these tests say.
fn done_at(s: f64) -> DoneAt {
    DoneAt {
        wall_clock: Some(secs(s)),
        revision: Revision(9),
    }
}

/// Jobs that are not over, each with those that it names.
fn live(jobs: &[(&str, &[&str])]) -> LiveJobs {
    let job = |(id, needs): &(&str, &[&str])| {
        let mut record = rec(id, 1, Term(1));
        record.desc.dependencies = needs.iter().map(|n| JobId::from(*n)).collect();
        record.desc.priority = Priority::Idle;
        record.desc.deadline_s = None;
        (JobId::from(*id), (Revision(1), Rc::new(record)))
    };
    jobs.iter().map(job).collect()
}

fn graph(live: &LiveJobs) -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    graph.reload(secs(1.0), live);
    graph
}

fn ends(graph: &mut DependencyGraph, live: &mut LiveJobs, id: &str) {
    live.remove(&JobId::from(id));
    graph.sync_job(secs(2.0), &id.into(), live);
}

fn ended(standing: JobState, at: Option<Micros>) -> Reply {
    let record = EndedRecord {
        state: standing,
        tasks: 1,
        footprint: None,
        ended_at: at,
    };
    Reply::Value(KeyValue {
        key: "ended/j-1".into(),
        value: serde_json::to_value(record).expect("a record"),
        revision: Revision(9),
    })
}

#[test]
fn a_job_that_is_gone_counts_as_done_only_once_its_record_says_so() {
    let mut jobs = live(&[("j-1", &[]), ("j-2", &["j-1"])]);
    let mut graph = graph(&jobs);
    let waits = Readiness::Waiting("j-1".into());
    assert_eq!(graph.readiness(&"j-2".into()), waits);
    ends(&mut graph, &mut jobs, "j-1");
    assert_eq!(graph.readiness(&"j-2".into()), waits, "gone is not done");
    assert_eq!(graph.is_cancelled(&"j-2".into()), None);
    assert_eq!(graph.reads(secs(2.0)), vec![JobId::from("j-1")]);
    assert_eq!(graph.reads(secs(2.0)), vec![], "one read at a time");
    // No answer, no record, and one that can't be read say nothing.
    let broken = Reply::Value(KeyValue {
        key: "ended/j-1".into(),
        value: serde_json::json!({"standing": "over"}),
        revision: Revision(9),
    });
    for (at, reply) in [
        (3.0, Reply::Indeterminate),
        (4.0, Reply::NotFound),
        (5.0, broken),
    ] {
        graph.end_read(secs(at), &"j-1".into(), &reply);
        assert_eq!(graph.readiness(&"j-2".into()), waits);
        assert_eq!(graph.reads(secs(at + 0.1)), vec![], "not at once again");
        assert_eq!(graph.reads(secs(at + 0.6)), vec![JobId::from("j-1")]);
    }
    let done = ended(JobState::Done, Some(secs(2.0)));
    graph.end_read(secs(6.0), &"j-1".into(), &done);
    let ready = Readiness::Ready(done_at(2.0));
    assert_eq!(graph.readiness(&"j-2".into()), ready);
    assert_eq!(graph.is_cancelled(&"j-2".into()), Some(false));
}

#[test]
fn a_cancelled_job_takes_all_with_it_that_need_it_and_no_other() {
    // A diamond, one that only shares its first job, and one before them all.
    let mut jobs = live(&[
        ("j-1", &[]),
        ("j-2", &["j-1"]),
        ("j-3", &["j-1"]),
        ("j-4", &["j-2", "j-3"]),
        ("j-5", &["j-1"]),
    ]);
    let mut graph = graph(&jobs);
    ends(&mut graph, &mut jobs, "j-2");
    let all = ["j-1", "j-3", "j-4", "j-5"].map(JobId::from);
    let told = |g: &DependencyGraph| all.clone().map(|id| g.is_cancelled(&id));
    assert_eq!(
        told(&graph),
        [Some(false), Some(false), None, Some(false)],
        "only what needs the unknown one is unknown"
    );
    graph.end_read(secs(3.0), &"j-2".into(), &ended(JobState::Cancelled, None));
    assert_eq!(
        told(&graph),
        [Some(false), Some(false), Some(true), Some(false)]
    );
    assert_eq!(graph.readiness(&"j-4".into()), Readiness::Cancelled);
    // Named when it is cancelled already, directly or behind another.
    let late = live(&[("j-6", &["j-4"]), ("j-7", &["j-6"]), ("j-8", &["j-3"])]);
    jobs.extend(late);
    graph.reload(secs(4.0), &jobs);
    let told = ["j-6", "j-7", "j-8"].map(|id| graph.is_cancelled(&id.into()));
    assert_eq!(told, [Some(true), Some(true), Some(false)]);
}

#[test]
fn nothing_is_kept_of_what_nobody_needs_any_more() {
    let mut jobs = live(&[("j-1", &[]), ("j-2", &["j-1"]), ("j-3", &["j-2"])]);
    let mut graph = graph(&jobs);
    ends(&mut graph, &mut jobs, "j-1");
    graph.end_stored(&"j-1".into(), JobEnd::Cancelled);
    for id in ["j-2", "j-3"] {
        assert_eq!(graph.is_cancelled(&id.into()), Some(true));
        ends(&mut graph, &mut jobs, id);
    }
    graph.refresh(&jobs);
    let left = format!("{graph:?}");
    assert_eq!(left, format!("{:?}", DependencyGraph::default()));
}

#[test]
fn priority_and_deadline_of_the_last_job_act_on_all_before_it() {
    let mut jobs = live(&[
        ("j-1", &[]),
        ("j-2", &["j-1"]),
        ("j-3", &["j-2"]),
        ("j-4", &[]),
    ]);
    let last = |jobs: &mut LiveJobs, change: &dyn Fn(&mut JobDesc)| {
        let (_, rec) = jobs.get_mut(&JobId::from("j-3")).expect("a job");
        change(&mut Rc::make_mut(rec).desc);
    };
    last(&mut jobs, &|d| {
        (d.priority, d.deadline_s, d.estimated_run_time_s) = (Priority::High, Some(100.0), 8.0);
    });
    let mut graph = graph(&jobs);
    assert!(graph.refresh(&jobs) && !graph.refresh(&jobs));
    let middle = graph.inherited(&"j-2".into()).expect("something");
    let due = secs(100.0 - 8.0 - STAGE_S);
    assert_eq!((middle.rank, middle.due), (Priority::High, Some(due)));
    // The middle one takes 10 s, as its owner estimates.
    let first = graph.inherited(&"j-1".into()).expect("something");
    let due = Micros(due.0 - secs(10.0 + STAGE_S).0);
    assert_eq!((first.rank, first.due), (Priority::High, Some(due)));
    assert_eq!(graph.inherited(&"j-3".into()), None);
    assert_eq!(graph.inherited(&"j-4".into()), None);
    // Cancelled, it needs nothing any more.
    ends(&mut graph, &mut jobs, "j-3");
    assert!(graph.refresh(&jobs));
    assert_eq!(graph.inherited(&"j-2".into()), None);
    let first = graph.inherited(&"j-1".into()).expect("something");
    assert_eq!((first.rank, first.due), (Priority::Idle, None));
}

/// Guards against walks that call themselves, and run out of stack.
#[test]
fn a_chain_of_thousands_of_jobs_is_walked_step_by_step() {
    let most = 20_000;
    let mut jobs: LiveJobs = LiveJobs::new();
    for i in 0..most {
        let mut record = rec(&format!("j-{i}"), 1, Term(1));
        let before = (i > 0).then(|| JobId::from(format!("j-{}", i - 1)));
        record.desc.dependencies = before.into_iter().collect();
        let id = record.desc.id.clone();
        jobs.insert(id, (Revision(1), Rc::new(record)));
    }
    let mut graph = graph(&jobs);
    graph.refresh(&jobs);
    let last = JobId::from(format!("j-{}", most - 1));
    assert!(graph.inherited(&"j-0".into()).is_some());
    assert_eq!(graph.is_cancelled(&last), Some(false));
    ends(&mut graph, &mut jobs, "j-0");
    assert_eq!(graph.is_cancelled(&last), None);
    graph.end_stored(&"j-0".into(), JobEnd::Cancelled);
    assert_eq!(graph.is_cancelled(&last), Some(true));
}

#[test]
fn many_ends_are_read_a_few_at_a_time() {
    let names: Vec<String> = (0..50).map(|i| format!("j-{i}")).collect();
    let mut record = rec("j-99", 1, Term(1));
    record.desc = desc("j-99", 1);
    record.desc.dependencies = names.iter().map(|n| JobId::from(n.as_str())).collect();
    let jobs = LiveJobs::from([("j-99".into(), (Revision(1), Rc::new(record)))]);
    let mut graph = graph(&jobs);
    let mut read = 0;
    while graph.readiness(&"j-99".into()) != Readiness::Ready(done_at(1.0)) {
        let out = graph.reads(secs(2.0));
        assert!(!out.is_empty() && out.len() <= MOST_READS);
        read += out.len();
        for id in out {
            let done = ended(JobState::Done, Some(secs(1.0)));
            graph.end_read(secs(2.0), &id, &done);
        }
    }
    assert_eq!(read, 50, "each once");
}
