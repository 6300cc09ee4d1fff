//! Tests of the dependency graph.

use super::super::tests::{job_desc, job_record};
use super::*;
use crate::ids::Term;
use crate::store::{KeyValue, Versioned};

fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// The time in an ended record of these tests, at revision 9.
fn done_at(seconds: f64) -> DoneAt {
    DoneAt {
        wall_clock: Some(secs(seconds)),
        revision: Revision(9),
    }
}

/// Live jobs, each given by its id and its dependencies.
fn live(jobs: &[(&str, &[&str])]) -> LiveJobs {
    let job = |(id, dependencies): &(&str, &[&str])| {
        let mut record = job_record(id, 1, Term(1));
        record.desc.dependencies = dependencies.iter().map(|name| JobId::from(*name)).collect();
        record.desc.priority = Priority::Idle;
        record.desc.deadline_s = None;
        (
            JobId::from(*id),
            Versioned {
                revision: Revision(1),
                record: Rc::new(record),
            },
        )
    };
    jobs.iter().map(job).collect()
}

/// A graph of these live jobs.
fn graph(live: &LiveJobs) -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    graph.reload(secs(1.0), live);
    graph
}

/// Removes a job from the live jobs, as a watch does after the job's end.
fn end_job(graph: &mut DependencyGraph, live: &mut LiveJobs, id: &str) {
    live.remove(&JobId::from(id));
    graph.reconcile_job(secs(2.0), &id.into(), live);
}

/// The store's answer to the read of an ended record.
fn ended(state: JobState, ended_at: Option<Micros>) -> Reply {
    let record = EndedRecord {
        state,
        tasks: 1,
        footprint: None,
        ended_at,
    };
    Reply::Value(KeyValue {
        key: "ended/j-1".into(),
        value: serde_json::to_value(record).expect("a record"),
        revision: Revision(9),
    })
}

/// Guards against starting a job because the live record of its dependency was deleted: the
/// dependency may have been cancelled.
#[test]
fn deleted_job_counts_as_done_only_once_its_ended_record_is_read() {
    let mut jobs = live(&[("j-1", &[]), ("j-2", &["j-1"])]);
    let mut graph = graph(&jobs);
    let waiting = Readiness::Waiting("j-1".into());
    assert_eq!(graph.readiness(&"j-2".into()), waiting);
    end_job(&mut graph, &mut jobs, "j-1");
    assert_eq!(
        graph.readiness(&"j-2".into()),
        waiting,
        "a deleted live record does not show that the job is done"
    );
    assert_eq!(graph.is_cancelled(&"j-2".into()), None);
    assert_eq!(graph.take_end_reads(secs(2.0)), vec![JobId::from("j-1")]);
    assert_eq!(
        graph.take_end_reads(secs(2.0)),
        vec![],
        "the read is in flight already"
    );
    // A missing answer, a missing record and an unreadable record leave the end unknown.
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
        graph.handle_end_read(secs(at), &"j-1".into(), &reply);
        assert_eq!(graph.readiness(&"j-2".into()), waiting);
        assert_eq!(
            graph.take_end_reads(secs(at + 0.1)),
            vec![],
            "the read was retried before its interval had passed"
        );
        assert_eq!(
            graph.take_end_reads(secs(at + 0.6)),
            vec![JobId::from("j-1")]
        );
    }
    let done = ended(JobState::Done, Some(secs(2.0)));
    graph.handle_end_read(secs(6.0), &"j-1".into(), &done);
    let ready = Readiness::Ready(done_at(2.0));
    assert_eq!(graph.readiness(&"j-2".into()), ready);
    assert_eq!(graph.is_cancelled(&"j-2".into()), Some(false));
}

/// Guards against jobs that wait forever for a cancelled job, or are cancelled with a job on which
/// they do not depend.
#[test]
fn cancellation_reaches_all_dependents_and_no_other_job() {
    // j-1 to j-4 form a diamond. j-5 shares only the first job with it.
    let mut jobs = live(&[
        ("j-1", &[]),
        ("j-2", &["j-1"]),
        ("j-3", &["j-1"]),
        ("j-4", &["j-2", "j-3"]),
        ("j-5", &["j-1"]),
    ]);
    let mut graph = graph(&jobs);
    end_job(&mut graph, &mut jobs, "j-2");
    let all = ["j-1", "j-3", "j-4", "j-5"].map(JobId::from);
    let cancelled = |graph: &DependencyGraph| all.clone().map(|id| graph.is_cancelled(&id));
    assert_eq!(
        cancelled(&graph),
        [Some(false), Some(false), None, Some(false)],
        "only jobs that depend on the job with the unread end are unknown"
    );
    graph.handle_end_read(secs(3.0), &"j-2".into(), &ended(JobState::Cancelled, None));
    assert_eq!(
        cancelled(&graph),
        [Some(false), Some(false), Some(true), Some(false)]
    );
    assert_eq!(graph.readiness(&"j-4".into()), Readiness::Cancelled);
    // Jobs that are accepted after the cancellation, with a direct or an indirect dependency on a
    // cancelled job.
    let late = live(&[("j-6", &["j-4"]), ("j-7", &["j-6"]), ("j-8", &["j-3"])]);
    jobs.extend(late);
    graph.reload(secs(4.0), &jobs);
    let cancelled = ["j-6", "j-7", "j-8"].map(|id| graph.is_cancelled(&id.into()));
    assert_eq!(cancelled, [Some(true), Some(true), Some(false)]);
}

/// Guards against a graph that grows with every job that ever ended.
#[test]
fn nothing_is_kept_of_jobs_without_live_dependents() {
    let mut jobs = live(&[("j-1", &[]), ("j-2", &["j-1"]), ("j-3", &["j-2"])]);
    let mut graph = graph(&jobs);
    end_job(&mut graph, &mut jobs, "j-1");
    graph.record_end(&"j-1".into(), JobEnd::Cancelled);
    for id in ["j-2", "j-3"] {
        assert_eq!(graph.is_cancelled(&id.into()), Some(true));
        end_job(&mut graph, &mut jobs, id);
    }
    graph.refresh(&jobs);
    let remaining = format!("{graph:?}");
    assert_eq!(remaining, format!("{:?}", DependencyGraph::default()));
}

/// Guards against an urgent job that starts late because the jobs on which it depends are served as
/// less urgent.
#[test]
fn priority_and_deadline_are_inherited_by_all_dependencies() {
    let mut jobs = live(&[
        ("j-1", &[]),
        ("j-2", &["j-1"]),
        ("j-3", &["j-2"]),
        ("j-4", &[]),
    ]);
    let change_last = |jobs: &mut LiveJobs, change: &dyn Fn(&mut JobDesc)| {
        let Versioned { record, .. } = jobs.get_mut(&JobId::from("j-3")).expect("a job");
        change(&mut Rc::make_mut(record).desc);
    };
    change_last(&mut jobs, &|desc| {
        (desc.priority, desc.deadline_s, desc.estimated_run_time_s) =
            (Priority::High, Some(100.0), 8.0);
    });
    let mut graph = graph(&jobs);
    assert!(graph.refresh(&jobs) && !graph.refresh(&jobs));
    let middle = graph.inherited(&"j-2".into()).expect("something");
    let deadline = secs(100.0 - 8.0 - STAGE_OVERHEAD_S);
    assert_eq!(
        (middle.priority, middle.deadline),
        (Priority::High, Some(deadline))
    );
    // The middle job takes 10 s, by the user's estimate.
    let first = graph.inherited(&"j-1".into()).expect("something");
    let deadline = Micros(deadline.0 - secs(10.0 + STAGE_OVERHEAD_S).0);
    assert_eq!(
        (first.priority, first.deadline),
        (Priority::High, Some(deadline))
    );
    assert_eq!(graph.inherited(&"j-3".into()), None);
    assert_eq!(graph.inherited(&"j-4".into()), None);
    // An ended job passes nothing on to its dependencies.
    end_job(&mut graph, &mut jobs, "j-3");
    assert!(graph.refresh(&jobs));
    assert_eq!(graph.inherited(&"j-2".into()), None);
    let first = graph.inherited(&"j-1".into()).expect("something");
    assert_eq!((first.priority, first.deadline), (Priority::Idle, None));
}

/// Guards against recursive traversals, which overflow the stack on long chains of jobs.
#[test]
fn chain_of_thousands_of_jobs_is_walked_iteratively() {
    let count = 20_000;
    let mut jobs: LiveJobs = LiveJobs::new();
    for number in 0..count {
        let mut record = job_record(&format!("j-{number}"), 1, Term(1));
        let before = (number > 0).then(|| JobId::from(format!("j-{}", number - 1)));
        record.desc.dependencies = before.into_iter().collect();
        let id = record.desc.id.clone();
        jobs.insert(
            id,
            Versioned {
                revision: Revision(1),
                record: Rc::new(record),
            },
        );
    }
    let mut graph = graph(&jobs);
    graph.refresh(&jobs);
    let last = JobId::from(format!("j-{}", count - 1));
    assert!(graph.inherited(&"j-0".into()).is_some());
    assert_eq!(graph.is_cancelled(&last), Some(false));
    end_job(&mut graph, &mut jobs, "j-0");
    assert_eq!(graph.is_cancelled(&last), None);
    graph.record_end(&"j-0".into(), JobEnd::Cancelled);
    assert_eq!(graph.is_cancelled(&last), Some(true));
}

/// Guards against a flood of reads after a failover, when the ends of many jobs are unknown.
#[test]
fn reads_of_ended_records_in_flight_are_bounded() {
    let names: Vec<String> = (0..50).map(|number| format!("j-{number}")).collect();
    let mut record = job_record("j-99", 1, Term(1));
    record.desc = job_desc("j-99", 1);
    record.desc.dependencies = names
        .iter()
        .map(|name| JobId::from(name.as_str()))
        .collect();
    let jobs = LiveJobs::from([(
        "j-99".into(),
        Versioned {
            revision: Revision(1),
            record: Rc::new(record),
        },
    )]);
    let mut graph = graph(&jobs);
    let mut read_count = 0;
    while graph.readiness(&"j-99".into()) != Readiness::Ready(done_at(1.0)) {
        let ids = graph.take_end_reads(secs(2.0));
        assert!(!ids.is_empty() && ids.len() <= MAX_READS_IN_FLIGHT);
        read_count += ids.len();
        for id in ids {
            let done = ended(JobState::Done, Some(secs(1.0)));
            graph.handle_end_read(secs(2.0), &id, &done);
        }
    }
    assert_eq!(read_count, 50, "a record was not read exactly once");
}
