use super::*;
use crate::ids::Term;
use crate::store::{KeyValue, WatchEvent};

fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// Handles a read of the changes while no job has dependencies.
fn handle_read(read_index: &mut ReadIndex, sent_at: Micros, cache: &WatchCache) -> Vec<Effect> {
    read_index.handle_read(sent_at, cache, &DependencyGraph::default())
}

fn ended_record(key: &str, state: &str, revision: u64) -> Reply {
    Reply::Value(KeyValue {
        key: key.into(),
        value: serde_json::json!({"standing": state, "tasks": 4}),
        revision: Revision(revision),
    })
}

/// Guards against an answer that is older than what another controller has answered before.
#[test]
fn a_lookup_waits_for_a_read_that_was_sent_after_it() {
    let mut read_index = ReadIndex::default();
    let cache = WatchCache::default();
    assert_eq!(
        read_index.begin_lookup(secs(2.0), "j-1".into(), 7, true),
        None
    );

    // The read was sent before the lookup: another controller may have accepted the job since.
    assert_eq!(handle_read(&mut read_index, secs(1.9), &cache), vec![]);
    let reads = handle_read(&mut read_index, secs(2.1), &cache);
    assert_eq!(reads, vec![Effect::ReadEnded("j-1".into())]);

    let answers = read_index.handle_ended_read(&"j-1".into(), &Reply::NotFound);
    assert_eq!(
        answers,
        vec![Effect::AnswerJobLookup(7, JobLookup::NotFound)]
    );
    // A missing job is not cached, because it may be submitted at any time.
    assert_eq!(
        read_index.begin_lookup(secs(3.0), "j-1".into(), 8, true),
        None
    );
}

/// Guards against "not found" for an accepted job: while the read of its ended record is in
/// flight, another controller accepts the job and cancels it.
#[test]
fn a_read_of_an_ended_record_answers_no_lookup_that_arrived_later() {
    let mut read_index = ReadIndex::default();
    let cache = WatchCache::default();
    let id = || JobId::from("j-1");
    let answered = |effects: &[Effect]| -> Vec<u64> {
        let request_id = |effect: &Effect| match effect {
            Effect::AnswerJobLookup(request_id, _) => Some(*request_id),
            Effect::ReadEnded(_) => None,
        };
        effects.iter().filter_map(request_id).collect()
    };
    read_index.begin_lookup(secs(2.0), id(), 7, true);
    let reads = handle_read(&mut read_index, secs(2.1), &cache);
    assert_eq!(reads, vec![Effect::ReadEnded(id())]);
    read_index.begin_lookup(secs(2.5), id(), 8, true);
    assert_eq!(handle_read(&mut read_index, secs(2.6), &cache), vec![]);
    let answers = read_index.handle_ended_read(&id(), &Reply::NotFound);
    assert_eq!(
        answers,
        vec![Effect::AnswerJobLookup(7, JobLookup::NotFound)]
    );
    let reads = handle_read(&mut read_index, secs(2.9), &cache);
    assert_eq!(reads, vec![Effect::ReadEnded(id())]);
    let reply = ended_record("ended/j-1", "cancelled", 5);
    let answers = read_index.handle_ended_read(&id(), &reply);
    assert_eq!(answered(&answers), vec![8]);

    // A lookup that arrived while the ended record was read is answered from the cache.
    read_index.begin_lookup(secs(3.0), "j-2".into(), 9, true);
    handle_read(&mut read_index, secs(3.1), &cache);
    read_index.begin_lookup(secs(3.2), "j-2".into(), 10, true);
    handle_read(&mut read_index, secs(3.3), &cache);
    let reply = ended_record("ended/j-2", "done", 6);
    let answers = read_index.handle_ended_read(&"j-2".into(), &reply);
    assert_eq!(answered(&answers), vec![9]);
    let answers = handle_read(&mut read_index, secs(3.4), &cache);
    assert_eq!(answered(&answers), vec![10]);
}

/// Guards against one read of the store for each lookup.
#[test]
fn one_read_answers_all_lookups_and_the_ended_record_is_cached() {
    let mut read_index = ReadIndex::default();
    let mut cache = WatchCache::default();
    let record = crate::jobs::tests::job_record("j-1", 4, Term(1));
    let change = |key: &str, value, revision| WatchEvent {
        set: Some(key.into()),
        delete: None,
        value,
        revision: Revision(revision),
    };
    let value = serde_json::to_value(&record).expect("a record");
    cache.apply_event(change("r/jobs/j-1", value, 3));
    let page = serde_json::json!({"owner": "c0", "done": [[0, 2]], "running": 1});
    cache.apply_event(change("r/done/j-1/0000", page, 4));
    for request in 0..100 {
        let live = read_index.begin_lookup(secs(2.0), "j-1".into(), request, true);
        assert_eq!(live, None);
        let ended = read_index.begin_lookup(secs(2.0), "j-2".into(), 100 + request, true);
        assert_eq!(ended, None);
    }

    let effects = handle_read(&mut read_index, secs(2.0), &cache);
    let reads = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::ReadEnded(_)));
    assert_eq!(
        (effects.len(), reads.count()),
        (101, 1),
        "one read, not a hundred"
    );
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::AnswerJobLookup(
            0,
            JobLookup::Live {
                state: JobState::Running,
                done: 2,
                running: 1,
                ..
            }
        )
    )));
    let reply = ended_record("ended/j-2", "done", 5);
    let answers = read_index.handle_ended_read(&"j-2".into(), &reply);
    assert_eq!(answers.len(), 100);
    let cached = read_index.begin_lookup(secs(9.0), "j-2".into(), 1, false);
    assert!(matches!(
        cached,
        Some(Effect::AnswerJobLookup(1, JobLookup::Ended(_)))
    ));
}

/// Guards against lookups that wait for reads while the store is unreachable.
#[test]
fn without_reads_lookups_are_refused_immediately_or_after_a_timeout() {
    let mut read_index = ReadIndex::default();
    let refused = Some(Effect::AnswerJobLookup(1, JobLookup::Unavailable));
    let answer = read_index.begin_lookup(secs(2.0), "j-1".into(), 1, false);
    assert_eq!(answer, refused);
    assert_eq!(
        read_index.begin_lookup(secs(2.0), "j-1".into(), 2, true),
        None
    );
    assert_eq!(read_index.expire(secs(3.0)), vec![]);
    let expired = read_index.expire(secs(3.5));
    assert_eq!(
        expired,
        vec![Effect::AnswerJobLookup(2, JobLookup::Unavailable)]
    );
}

/// Guards against "no such job" for an accepted job, after which its user would abandon it.
#[test]
fn a_job_with_an_unreadable_record_is_not_answered_as_unknown() {
    let mut read_index = ReadIndex::default();
    let mut cache = WatchCache::default();
    cache.load(vec![KeyValue {
        key: "r/jobs/j-1".into(),
        value: serde_json::json!({"desc": 7}),
        revision: Revision(4),
    }]);
    assert_eq!(
        read_index.begin_lookup(secs(1.0), "j-1".into(), 5, true),
        None
    );
    let answers = handle_read(&mut read_index, secs(1.1), &cache);
    assert_eq!(
        answers,
        vec![Effect::AnswerJobLookup(5, JobLookup::Unavailable)]
    );
}
