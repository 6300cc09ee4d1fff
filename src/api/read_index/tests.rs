use super::*;
use crate::store::{KeyValue, WatchEvent};

fn secs(s: f64) -> Micros {
    Micros::from_secs(s)
}

#[test]
fn a_question_waits_for_a_reading_begun_after_it() {
    let mut d = ReadIndex::default();
    let cache = WatchCache::default();
    assert_eq!(d.ask(secs(2.0), "j-1".into(), 7, true), None);
    // Begun before: another node may have accepted the job in between.
    assert_eq!(
        d.reading(secs(1.9), &cache, &DependencyGraph::default()),
        vec![]
    );
    let read = d.reading(secs(2.1), &cache, &DependencyGraph::default());
    assert_eq!(read, vec![Effect::ReadEnded("j-1".into())]);
    let told = d.ended("j-1".into(), &Reply::NotFound);
    assert_eq!(told, vec![Effect::AnswerJobLookup(7, JobLookup::NotFound)]);
    // Nothing is not remembered: it may be submitted any time.
    assert_eq!(d.ask(secs(3.0), "j-1".into(), 8, true), None);
}

/// The read of a record is slow; meanwhile another node accepts the job and cancels it.
#[test]
fn a_record_that_is_being_read_answers_no_question_that_came_later() {
    let mut d = ReadIndex::default();
    let cache = WatchCache::default();
    let id = || JobId::from("j-1");
    let found = |told: &[Effect]| -> Vec<u64> {
        let request_id = |e: &Effect| match e {
            Effect::AnswerJobLookup(request_id, _) => Some(*request_id),
            Effect::ReadEnded(_) => None,
        };
        told.iter().filter_map(request_id).collect()
    };
    d.ask(secs(2.0), id(), 7, true);
    let read = d.reading(secs(2.1), &cache, &DependencyGraph::default());
    assert_eq!(read, vec![Effect::ReadEnded(id())]);
    d.ask(secs(2.5), id(), 8, true);
    assert_eq!(
        d.reading(secs(2.6), &cache, &DependencyGraph::default()),
        vec![]
    );
    let told = d.ended(id(), &Reply::NotFound);
    assert_eq!(told, vec![Effect::AnswerJobLookup(7, JobLookup::NotFound)]);
    let read = d.reading(secs(2.9), &cache, &DependencyGraph::default());
    assert_eq!(read, vec![Effect::ReadEnded(id())]);
    let row = KeyValue {
        key: "ended/j-1".into(),
        value: serde_json::json!({"standing": "cancelled", "tasks": 4}),
        revision: Revision(5),
    };
    assert_eq!(found(&d.ended(id(), &Reply::Value(row))), vec![8]);
    // Who came while that was read needs no further read.
    d.ask(secs(3.0), "j-2".into(), 9, true);
    d.reading(secs(3.1), &cache, &DependencyGraph::default());
    d.ask(secs(3.2), "j-2".into(), 10, true);
    d.reading(secs(3.3), &cache, &DependencyGraph::default());
    let row = KeyValue {
        key: "ended/j-2".into(),
        value: serde_json::json!({"standing": "done", "tasks": 4}),
        revision: Revision(6),
    };
    assert_eq!(found(&d.ended("j-2".into(), &Reply::Value(row))), vec![9]);
    assert_eq!(
        found(&d.reading(secs(3.4), &cache, &DependencyGraph::default())),
        vec![10]
    );
}

#[test]
fn one_reading_answers_all_and_an_end_is_remembered() {
    let mut d = ReadIndex::default();
    let mut cache = WatchCache::default();
    let rec = crate::jobs::tests::rec("j-1", 4, crate::ids::Term(1));
    let change = |set: &str, value, revision| WatchEvent {
        set: Some(set.into()),
        delete: None,
        value,
        revision: Revision(revision),
    };
    let value = serde_json::to_value(&rec).expect("a record");
    cache.apply_event(change("r/jobs/j-1", value, 3));
    let page = serde_json::json!({"owner": "c0", "done": [[0, 2]], "running": 1});
    cache.apply_event(change("r/done/j-1/0000", page, 4));
    for t in 0..100 {
        assert_eq!(d.ask(secs(2.0), "j-1".into(), t, true), None);
        assert_eq!(d.ask(secs(2.0), "j-2".into(), 100 + t, true), None);
    }
    let told = d.reading(secs(2.0), &cache, &DependencyGraph::default());
    let reads = told.iter().filter(|e| matches!(e, Effect::ReadEnded(_)));
    assert_eq!(
        (told.len(), reads.count()),
        (101, 1),
        "one read, not a hundred"
    );
    assert!(told.iter().any(|e| matches!(
        e,
        Effect::AnswerJobLookup(
            0,
            JobLookup::Live {
                standing: JobState::Running,
                done: 2,
                running: 1,
                ..
            }
        )
    )));
    let row = KeyValue {
        key: "ended/j-2".into(),
        value: serde_json::json!({"standing": "done", "tasks": 4}),
        revision: Revision(5),
    };
    assert_eq!(d.ended("j-2".into(), &Reply::Value(row)).len(), 100);
    let told = d.ask(secs(9.0), "j-2".into(), 1, false);
    assert!(matches!(
        told,
        Some(Effect::AnswerJobLookup(1, JobLookup::Ended(_)))
    ));
}

#[test]
fn without_readings_questions_are_refused_at_once_or_soon() {
    let mut d = ReadIndex::default();
    let refused = Some(Effect::AnswerJobLookup(1, JobLookup::Unavailable));
    assert_eq!(d.ask(secs(2.0), "j-1".into(), 1, false), refused);
    assert_eq!(d.ask(secs(2.0), "j-1".into(), 2, true), None);
    assert_eq!(d.expire(secs(3.0)), vec![]);
    let late = d.expire(secs(3.5));
    assert_eq!(
        late,
        vec![Effect::AnswerJobLookup(2, JobLookup::Unavailable)]
    );
}

/// "No such job" would make an accepted one forgotten.
#[test]
fn a_job_whose_record_cant_be_read_is_not_called_unknown() {
    let mut d = ReadIndex::default();
    let mut cache = WatchCache::default();
    cache.load(vec![KeyValue {
        key: "r/jobs/j-1".into(),
        value: serde_json::json!({"desc": 7}),
        revision: crate::ids::Revision(4),
    }]);
    assert_eq!(d.ask(secs(1.0), "j-1".into(), 5, true), None);
    let told = d.reading(secs(1.1), &cache, &DependencyGraph::default());
    assert_eq!(
        told,
        vec![Effect::AnswerJobLookup(5, JobLookup::Unavailable)]
    );
}
