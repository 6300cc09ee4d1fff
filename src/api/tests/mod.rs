//! The endpoints before a scripted store and a scripted controller.

mod cancellations;
mod heartbeats;
mod submissions;
mod wire_form;

use super::answers::UserAnswer;
use super::context::ApiContext;
use super::ports::{
    ApiChannels, ApiView, CancelledJob, HeartbeatAnswer, HeartbeatRequest, StatusQuery, StoreQuery,
    TeamPartition,
};
use super::read_index::JobLookup;
use crate::clock::{Micros, MonotonicClock};
use crate::ids::{FencingToken, JobId, PartitionId, Revision, Term};
use crate::jobs::tests::{body as job_body, types as machine_types};
use crate::jobs::{EndedRecord, JobState};
use crate::partitions::FormatLevel;
use crate::settings::tests::settings;
use crate::store::{KeyValue, Reply, Request as StoreRequest};
use crate::workers::HeartbeatResponse;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// How the scripted controller looks up jobs.
type LookUp = fn(&JobId) -> JobLookup;
/// How the scripted store replies to requests.
type StoreReply = fn(&StoreRequest) -> Reply;

const QUEUE_LENGTH: usize = 16;

/// The endpoints before a scripted store and controller: how the store replies, what a lookup
/// of a job gives, and how heartbeats are answered.
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
        ports: ApiChannels {
            view,
            store_queries,
            heartbeats,
            status_queries,
            cancellations,
        },
    }
}

/// The endpoints for users, where heartbeats don't matter.
fn user_context(view: ApiView, store: StoreReply, look_up: LookUp) -> ApiContext {
    context(view, store, look_up, no_commands(Micros::ZERO))
}

/// The endpoints for workers, where the store and lookups don't matter.
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

/// A response to a heartbeat without commands, valid until then.
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
    let record = crate::jobs::tests::rec("j-000412", 4, Term(1));
    JobLookup::Live {
        revision: Revision(5),
        state: JobState::Running,
        tasks: 4,
        footprint: record.desc.footprint(),
        done: 1,
        running: 2,
    }
}

/// The status of an answer, and the state of its job.
fn status(answer: &UserAnswer) -> (u16, Option<JobState>) {
    let state = match answer {
        UserAnswer::Job { state, .. } => Some(*state),
        UserAnswer::Rejected(_) | UserAnswer::Unavailable(_) => None,
    };
    (answer.status().as_u16(), state)
}

async fn submit(view: ApiView, store: StoreReply, look_up: LookUp) -> UserAnswer {
    let context = user_context(view, store, look_up);
    context.submit(job_body().to_string().as_bytes()).await
}

/// Submits a job with these dependencies: gives the status and the error's text.
async fn submit_with_dependencies(
    dependencies: Value,
    view: ApiView,
    store: StoreReply,
    look_up: LookUp,
) -> (u16, String) {
    let mut body = job_body();
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

/// A store that has one live job and one that has ended.
fn two_jobs(request: &StoreRequest) -> Reply {
    let row = |key: &str| {
        Reply::Value(KeyValue {
            key: key.into(),
            value: json!({}),
            revision: Revision(4),
        })
    };
    match request {
        StoreRequest::Get { key } if key == "r/jobs/j-1" || key == "ended/j-2" => row(key),
        StoreRequest::Get { .. } => Reply::NotFound,
        _ => Reply::Committed(Revision(9)),
    }
}
