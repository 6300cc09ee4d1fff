use super::{
    LookUp, StoreReply, ended, live, not_found, status, store_with_two_jobs, submission_body,
    submit, submit_with_dependencies, user_context, view,
};
use crate::api::channels::ApiView;
use crate::api::read_index::JobLookup;
use crate::api::submissions::REPEAT_LOOKUP_TIMEOUT;
use crate::ids::Revision;
use crate::jobs::JobState;
use crate::partitions::FormatLevel;
use crate::store::{KeyValue, Reply, Request as StoreRequest};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Guards against the refusal of a repeated submission because of the current machine types, the
/// owner of the team's partition or the state of the store. After a rejection, the user would
/// abandon a job that was accepted.
#[tokio::test]
async fn a_repeated_submission_is_answered_with_the_jobs_state_despite_other_errors() {
    let no_types = || ApiView {
        types: None,
        ..view()
    };
    let other_types = || ApiView {
        types: Some(Arc::new(Vec::new())),
        ..view()
    };
    let no_teams = || ApiView {
        teams: Vec::new(),
        ..view()
    };
    let stores: [StoreReply; 4] = [
        |_| Reply::Rejected,
        |_| Reply::Indeterminate,
        // The partition's owner changes before every attempt.
        |_| Reply::Conflict(vec!["r/blocks/0/holder".into()]),
        |_| Reply::Conflict(vec!["r/jobs/j-000412".into()]),
    ];
    let lookups: [(LookUp, JobState); 3] = [
        (|_| live(), JobState::Running),
        (|_| ended(JobState::Done), JobState::Done),
        (|_| ended(JobState::Cancelled), JobState::Cancelled),
    ];
    for (look_up, state) in lookups {
        for store in stores {
            for view in [view(), no_types(), other_types(), no_teams()] {
                let answer = submit(view, store, look_up).await;
                assert_eq!(status(&answer), (200, Some(state)));
            }
        }
    }
}

/// Guards against a permanent rejection of a job that may have been accepted before. Only a job
/// that is known to be new is rejected permanently.
#[tokio::test]
async fn a_new_job_that_cant_be_accepted_is_refused_once_it_is_known_to_be_new() {
    let unavailable: LookUp = |_| JobLookup::Unavailable;
    let refused: StoreReply = |_| Reply::Rejected;
    let types = |types| ApiView { types, ..view() };
    let no_machine_types = || types(Some(Arc::new(Vec::new())));
    assert_eq!(status(&submit(view(), refused, not_found).await).0, 503);
    let answer = submit(types(None), refused, not_found).await;
    assert_eq!(status(&answer).0, 503);
    assert_eq!(
        status(&submit(no_machine_types(), refused, not_found).await).0,
        422
    );
    // The job may have been accepted before, which cannot be read now.
    assert_eq!(
        status(&submit(no_machine_types(), refused, unavailable).await).0,
        503
    );
    let answer = submit(view(), |_| Reply::Committed(Revision(9)), not_found).await;
    assert_eq!(status(&answer), (201, Some(JobState::Pending)));
}

/// Guards against slow refusals just after the store became unreachable. The last read is still
/// recent then, so a lookup waits for a next read, which does not come.
#[tokio::test]
async fn a_temporary_refusal_does_not_wait_for_a_read_that_may_not_come() {
    let mut context = user_context(view(), |_| Reply::Rejected, not_found);
    let (status_queries, _unanswered) = mpsc::channel(16);
    context.channels.status_queries = status_queries;
    let sent_at = std::time::Instant::now();

    let answer = context
        .submit(submission_body().to_string().as_bytes())
        .await;

    assert_eq!(status(&answer).0, 503);
    let elapsed = sent_at.elapsed();
    assert!(elapsed < 2 * REPEAT_LOOKUP_TIMEOUT, "{elapsed:?}");
}

/// Guards against a job that depends on a job which does not exist, and so could never start.
#[tokio::test]
async fn a_submission_may_depend_on_any_job_that_was_accepted_and_on_no_other() {
    let submit = |dependencies| {
        submit_with_dependencies(dependencies, view(), store_with_two_jobs, not_found)
    };
    assert_eq!(submit(json!(["j-1"])).await.0, 201);
    assert_eq!(submit(json!(["j-2", "j-1", "j-2"])).await.0, 201);
    assert_eq!(submit(json!([])).await.0, 201);
    assert_eq!(submit(Value::Null).await.0, 201);
    let (status, reason) = submit(json!(["j-1", "j-3"])).await;
    assert_eq!((status, reason.contains("j-3")), (422, true), "{reason}");
    // A job that depends on itself is rejected, because its own id was not accepted before.
    assert_eq!(submit(json!(["j-000412"])).await.0, 422);
    for malformed in [
        json!("j-1"),
        json!([1]),
        json!(["x-1"]),
        json!({}),
        json!(["j-"]),
    ] {
        assert_eq!(submit(malformed.clone()).await.0, 400, "{malformed}");
    }
}

/// Guards against a permanent rejection because of a dependency that may have been accepted but
/// cannot be read now.
#[tokio::test]
async fn a_missing_dependency_is_rejected_permanently_only_after_a_read_without_it() {
    let refused: StoreReply = |_| Reply::Rejected;
    let dependencies = json!(["j-1"]);
    let answer = submit_with_dependencies(dependencies.clone(), view(), refused, not_found).await;
    assert_eq!(answer.0, 503);
    // The dependency has no live record, and its ended record cannot be read.
    let unreadable_end: StoreReply = |request| match request {
        StoreRequest::Get { key } if key.starts_with("r/jobs/") => Reply::NotFound,
        _ => Reply::Indeterminate,
    };
    let answer =
        submit_with_dependencies(dependencies.clone(), view(), unreadable_end, not_found).await;
    assert_eq!(answer.0, 503);
    // A repeat is answered with the job's state, even if its dependencies are missing.
    let known: LookUp = |_| live();
    let already_accepted: StoreReply = |request| match request {
        StoreRequest::CompareAndSwap { .. } => Reply::Conflict(vec!["r/jobs/j-000412".into()]),
        request => store_with_two_jobs(request),
    };
    for dependencies in [json!(["j-3"]), json!(["j-000412"]), dependencies] {
        for store in [refused, already_accepted] {
            let answer = submit_with_dependencies(dependencies.clone(), view(), store, known).await;
            assert_eq!(answer.0, 200, "{dependencies}");
        }
    }
}

/// Guards against a controller of an earlier version that ignores the dependencies and starts the
/// job at once.
#[tokio::test]
async fn a_job_with_dependencies_is_accepted_only_once_every_controller_understands_it() {
    let old = || ApiView {
        format: FormatLevel(0),
        ..view()
    };
    let answer =
        submit_with_dependencies(json!(["j-1"]), old(), store_with_two_jobs, not_found).await;
    assert_eq!(answer.0, 503);
    let answer = submit_with_dependencies(json!([]), old(), store_with_two_jobs, not_found).await;
    assert_eq!(
        answer.0, 201,
        "a job without dependencies is accepted at every level"
    );
    let answer =
        submit_with_dependencies(json!(["j-1"]), old(), store_with_two_jobs, |_| live()).await;
    assert_eq!(answer.0, 200, "a repeat is answered at every level");
}

/// Guards against jobs whose record exceeds the store's value size limit because of their number
/// of dependencies.
#[tokio::test]
async fn more_dependencies_than_a_record_holds_are_rejected_with_the_number_that_fits() {
    let ids: Vec<String> = (0..2_000).map(|number| format!("j-{number:06}")).collect();
    let unused: StoreReply = |_| panic!("no dependency should be looked up");
    let answer = submit_with_dependencies(json!(ids), view(), unused, not_found).await;
    assert_eq!(answer.0, 422);
    let submitted = answer.1.split(' ').find_map(|word| word.parse().ok());
    assert_eq!(submitted, Some(2_000_usize), "{}", answer.1);
    let mut numbers = answer.1.split(' ').filter_map(|word| word.parse().ok());
    let fitting: usize = numbers.next_back().expect("the number that fits");

    let fitting_ids = json!(ids[..fitting - 20]);
    let answer =
        submit_with_dependencies(fitting_ids, view(), |_| Reply::NotFound, not_found).await;

    assert!(answer.1.contains("never accepted"), "{}", answer.1);
}

/// Guards against slow answers to repeats. Repeats took half a second while nothing changed in
/// the store, because they waited for the next watch to return at the end of its wait time.
#[tokio::test]
async fn a_repeated_submission_of_an_ended_job_is_answered_from_its_record() {
    let has_ended: StoreReply = |request| match request {
        StoreRequest::CompareAndSwap { .. } => Reply::Conflict(vec!["ended/j-000412".into()]),
        StoreRequest::Get { key } if key == "ended/j-000412" => Reply::Value(KeyValue {
            key: key.clone(),
            value: json!({"standing": "done", "tasks": 4}),
            revision: Revision(4),
        }),
        _ => Reply::NotFound,
    };
    let unused: LookUp = |_| panic!("no job lookup should be sent");
    let answer = submit(view(), has_ended, unused).await;
    assert_eq!(status(&answer), (200, Some(JobState::Done)));
    let unreadable: StoreReply = |request| match request {
        StoreRequest::CompareAndSwap { .. } => Reply::Conflict(vec!["ended/j-000412".into()]),
        _ => Reply::Indeterminate,
    };
    assert_eq!(status(&submit(view(), unreadable, unused).await).0, 503);
}
