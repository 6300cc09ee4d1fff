//! Tests of the endpoints against a scripted store and a scripted controller.

mod cancellations;
mod heartbeats;
mod submissions;
mod wire_form;

use super::answers::UserAnswer;
use super::channels::{
    ApiChannels, ApiView, CancelledJob, HeartbeatAnswer, HeartbeatRequest, StatusQuery, StoreQuery,
    TeamPartition,
};
use super::context::ApiContext;
use super::read_index::JobLookup;
use crate::clock::{Micros, MonotonicClock};
use crate::ids::{FencingToken, JobId, PartitionId, Revision, Term};
use crate::jobs::tests::{machine_types, submission_body};
use crate::jobs::{EndedRecord, JobState};
use crate::partitions::FormatLevel;
use crate::settings::tests::settings;
use crate::store::{KeyValue, Reply, Request as StoreRequest};
use crate::workers::HeartbeatResponse;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Script of the controller: the result of a lookup of a job.
type LookUp = fn(&JobId) -> JobLookup;
/// Script of the store: the reply to a request.
type StoreReply = fn(&StoreRequest) -> Reply;

const QUEUE_LENGTH: usize = 16;

/// Creates the endpoints with a scripted store and controller. The store replies as `store` does,
/// lookups of jobs give the result of `look_up`, and heartbeats are accepted with `response`.
fn context(
    view: ApiView,
    store: StoreReply,
    look_up: LookUp,
    response: HeartbeatResponse,
) -> ApiContext {
    let (store_queries, mut queried_store) = mpsc::channel::<StoreQuery>(QUEUE_LENGTH);
    let (heartbeats, mut sent_heartbeats) = mpsc::channel::<HeartbeatRequest>(QUEUE_LENGTH);
    let (status_queries, mut queried_status) = mpsc::channel::<StatusQuery>(QUEUE_LENGTH);
    let (cancellations, mut cancelled) = mpsc::channel::<CancelledJob>(QUEUE_LENGTH);
    tokio::spawn(async move {
        while let Some(query) = queried_store.recv().await {
            let _ = query.answer.send(store(&query.request));
        }
    });
    tokio::spawn(async move {
        while let Some(query) = queried_status.recv().await {
            let _ = query.answer.send(look_up(&query.id));
        }
    });
    tokio::spawn(async move {
        while let Some(heartbeat) = sent_heartbeats.recv().await {
            let answer = HeartbeatAnswer::Accepted(response.clone());
            let _ = heartbeat.answer.send(answer);
        }
    });
    tokio::spawn(async move { while cancelled.recv().await.is_some() {} });
    let (_, view) = watch::channel(Arc::new(view));
    ApiContext {
        settings: Arc::new(settings()),
        clock: MonotonicClock::start(),
        channels: ApiChannels {
            view,
            store_queries,
            heartbeats,
            status_queries,
            cancellations,
        },
    }
}

/// Creates the endpoints for tests of users' requests, which send no heartbeats.
fn user_context(view: ApiView, store: StoreReply, look_up: LookUp) -> ApiContext {
    context(view, store, look_up, no_commands(Micros::ZERO))
}

/// Creates the endpoints for tests of workers' requests, which use neither store nor lookups.
fn worker_context(view: ApiView, response: HeartbeatResponse) -> ApiContext {
    context(
        view,
        |_| Reply::Indeterminate,
        |_| JobLookup::NotFound,
        response,
    )
}

fn view() -> ApiView {
    let team = TeamPartition {
        partition: PartitionId(0),
        owner_revision: Revision(3),
        term: Term(1),
    };
    ApiView {
        types: Some(Arc::new(machine_types())),
        teams: vec![team; 2],
        healthy: true,
        format: FormatLevel::NEWEST,
    }
}

/// A response to a heartbeat without commands, which may be sent until `valid_until`.
fn no_commands(valid_until: Micros) -> HeartbeatResponse {
    HeartbeatResponse {
        fencing_token: FencingToken(7),
        commands: Vec::new(),
        valid_until,
    }
}

fn not_found(_: &JobId) -> JobLookup {
    JobLookup::NotFound
}

fn ended(state: JobState) -> JobLookup {
    JobLookup::Ended(EndedRecord {
        state,
        tasks: 4,
        footprint: None,
        ended_at: None,
    })
}

fn live() -> JobLookup {
    let record = crate::jobs::tests::job_record("j-000412", 4, Term(1));
    JobLookup::Live {
        revision: Revision(5),
        state: JobState::Running,
        tasks: 4,
        footprint: record.desc.footprint(),
        done: 1,
        running: 2,
    }
}

/// Returns the HTTP status of an answer, and the state of its job if it has one.
fn status(answer: &UserAnswer) -> (u16, Option<JobState>) {
    let state = match answer {
        UserAnswer::Job { state, .. } => Some(*state),
        UserAnswer::Rejected(_) | UserAnswer::Unavailable(_) => None,
    };
    (answer.status().as_u16(), state)
}

async fn submit(view: ApiView, store: StoreReply, look_up: LookUp) -> UserAnswer {
    let context = user_context(view, store, look_up);
    context
        .submit(submission_body().to_string().as_bytes())
        .await
}

/// Submits a job with these dependencies. Returns the HTTP status and the error text, which is
/// empty if the job was accepted.
async fn submit_with_dependencies(
    dependencies: Value,
    view: ApiView,
    store: StoreReply,
    look_up: LookUp,
) -> (u16, String) {
    let mut body = submission_body();
    body["hinges"] = dependencies;
    let context = user_context(view, store, look_up);
    let answer = context.submit(body.to_string().as_bytes()).await;
    let reason = match &answer {
        UserAnswer::Rejected(error) => error.to_string(),
        UserAnswer::Unavailable(reason) => (*reason).to_owned(),
        UserAnswer::Job { .. } => String::new(),
    };
    (status(&answer).0, reason)
}

/// Replies as a store with the live job `j-1` and the ended job `j-2`.
fn store_with_two_jobs(request: &StoreRequest) -> Reply {
    let entry = |key: &str| {
        Reply::Value(KeyValue {
            key: key.into(),
            value: json!({}),
            revision: Revision(4),
        })
    };
    match request {
        StoreRequest::Get { key } if key == "r/jobs/j-1" || key == "ended/j-2" => entry(key),
        StoreRequest::Get { .. } => Reply::NotFound,
        _ => Reply::Committed(Revision(9)),
    }
}
