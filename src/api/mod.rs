//! HTTP for users, workers and health checks.

mod connection_limiter;
pub mod ports;
pub mod read_index;
mod submissions;

use crate::clock::{MonotonicClock, wall_clock_now};
use crate::ids::{JobId, Revision};
use crate::jobs::{EndedRecord, JobDesc, JobRecord, JobState, SubmissionError, UnsatisfiableJob};
use crate::partitions::FormatLevel;
use crate::settings::Settings;
use crate::settings::sockets::SocketShares;
use crate::store::{self, Reply, Request as Ask, compare, keys};
use crate::workers::Heartbeat;
use connection_limiter::ConnectionLimiter;
use ports::{
    ApiChannels, CancelledJob, HeartbeatAnswer, HeartbeatRequest, StatusQuery, StoreQuery,
};
use read_index::JobLookup;
use salvo::conn::{Listener, TcpListener};
use salvo::http::StatusCode;
use salvo::http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::prelude::{Request, Response, Router, Server, Service, handler};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request body may be at most this long.
const MOST_BODY: usize = 64 * 1024;
/// A job is looked up for so long before its submission is refused for now: readings of the
/// store that come at all come sooner.
const LOOKUP: Duration = Duration::from_millis(500);
/// What is wrong with a body that can't be read.
const BAD_BODY: &str = "the body is over 64 KiB or broken off";
/// Times that a write is tried again after someone else's change.
const TRIES: usize = 4;

#[derive(Clone)]
struct Api {
    settings: Arc<Settings>,
    clock: MonotonicClock,
    ports: ApiChannels,
}

/// Why a user's request is refused for good.
#[derive(Debug, PartialEq, thiserror::Error)]
enum ApiError {
    /// It can't be read, or a field is missing or invalid.
    #[error("{0}")]
    Malformed(String),
    /// There is no such job.
    #[error("no such job")]
    UnknownJob,
    /// It can never run here.
    #[error("{0}")]
    NeverRuns(String),
}

impl ApiError {
    fn status(&self) -> u16 {
        match self {
            ApiError::Malformed(_) => 400,
            ApiError::UnknownJob => 404,
            ApiError::NeverRuns(_) => 422,
        }
    }
}

/// What a user is told.
#[derive(Debug, PartialEq)]
enum UserAnswer {
    Job {
        status: u16,
        id: JobId,
        standing: JobState,
        counts: Option<(u32, u32)>,
    },
    /// Final: asking again does not help.
    Rejected(ApiError),
    /// Can't be decided or taken now: come back.
    Unavailable(&'static str),
}

impl UserAnswer {
    fn render(self, res: &mut Response) {
        let (status, body) = match self {
            UserAnswer::Job {
                status,
                id,
                standing,
                counts,
            } => {
                let mut body = json!({"id": id, "standing": standing});
                if let Some((done, running)) = counts {
                    body["done"] = done.into();
                    body["running"] = running.into();
                }
                (status, body)
            }
            UserAnswer::Rejected(error) => (error.status(), json!({"error": error.to_string()})),
            UserAnswer::Unavailable(why) => {
                res.headers_mut()
                    .insert(RETRY_AFTER, HeaderValue::from_static("1"));
                (503, json!({"error": why}))
            }
        };
        send(res, status, &body);
    }
}

fn send(res: &mut Response, status: u16, body: &Value) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let _ = res.write_body(body.to_string());
}

const NO_STORE: UserAnswer = UserAnswer::Unavailable("the state service can't be reached");

impl Api {
    async fn ask(&self, request: Ask) -> Reply {
        let (answer, got) = oneshot::channel();
        // A full queue refuses at once: the user is told when to come back.
        if self
            .ports
            .questions
            .try_send(StoreQuery { request, answer })
            .is_err()
        {
            return Reply::Rejected;
        }
        match tokio::time::timeout(Duration::from_millis(1_600), got).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Indeterminate,
        }
    }

    /// As fresh as a read of the store: a view that lags might give an older answer
    /// than one that some node has given before.
    async fn find(&self, id: &JobId) -> JobLookup {
        let (answer, got) = oneshot::channel();
        let id = id.clone();
        if self
            .ports
            .asks
            .try_send(StatusQuery { id, answer })
            .is_err()
        {
            return JobLookup::Unavailable;
        }
        match tokio::time::timeout(Duration::from_millis(1_900), got).await {
            Ok(Ok(found)) => found,
            _ => JobLookup::Unavailable,
        }
    }

    async fn status(&self, id: &str) -> UserAnswer {
        let id = JobId::from(id);
        if !id.is_well_formed() {
            return UserAnswer::Rejected(ApiError::UnknownJob);
        }
        match self.find(&id).await {
            JobLookup::NotFound => UserAnswer::Rejected(ApiError::UnknownJob),
            JobLookup::Unavailable => NO_STORE,
            found => known(found, &id),
        }
    }

    async fn abort(&self, id: &str) -> UserAnswer {
        let id = JobId::from(id);
        if !id.is_well_formed() {
            return UserAnswer::Rejected(ApiError::UnknownJob);
        }
        for _ in 0..TRIES {
            let (revision, tasks, footprint) = match self.find(&id).await {
                JobLookup::Live {
                    revision,
                    tasks,
                    footprint,
                    ..
                } => (revision, tasks, footprint),
                JobLookup::NotFound => return UserAnswer::Rejected(ApiError::UnknownJob),
                JobLookup::Unavailable => return NO_STORE,
                found => return known(found, &id),
            };
            let ended = EndedRecord {
                state: JobState::Cancelled,
                tasks,
                footprint: Some(footprint),
                ended_at: Some(wall_clock_now()),
            };
            let compares = vec![
                compare(keys::job(&id), revision),
                compare(keys::ended(&id), Revision(0)),
            ];
            let mutations = vec![
                store::delete(keys::job(&id)),
                store::put(keys::ended(&id), &ended),
            ];
            match self
                .ask(Ask::CompareAndSwap {
                    compares,
                    mutations,
                })
                .await
            {
                Reply::Committed(revision) => {
                    let job = id.clone();
                    // Full: whoever holds its partition reads it from the store.
                    let _ = self.ports.cancels.try_send(CancelledJob { job, revision });
                    return UserAnswer::Job {
                        status: 200,
                        id,
                        standing: JobState::Cancelled,
                        counts: None,
                    };
                }
                // It ended in between.
                Reply::Conflict(_) => {}
                _ => return NO_STORE,
            }
        }
        UserAnswer::Unavailable("the job changes too often just now")
    }

    async fn report(&self, body: &[u8]) -> (u16, Value) {
        let Ok(report) = serde_json::from_slice::<Heartbeat>(body) else {
            return (400, json!({"error": "malformed report"}));
        };
        let (answer, got) = oneshot::channel();
        if self
            .ports
            .reports
            .try_send(HeartbeatRequest { report, answer })
            .is_err()
        {
            return (503, json!({"error": "busy"}));
        }
        match tokio::time::timeout(Duration::from_millis(3_000), got).await {
            // The last moment at which we can tell: an answer that stood still on its
            // way must not leave after the lease under which it was decided.
            Ok(Ok(HeartbeatAnswer::Accepted(orders))) if self.clock.now() < orders.valid_until => {
                (200, json!(orders))
            }
            Ok(Ok(HeartbeatAnswer::Redirect(label))) => (421, json!({"answerTo": label})),
            _ => (503, json!({"error": "not entitled to answer"})),
        }
    }
}

fn refused(refusal: impl Into<SubmissionError>) -> UserAnswer {
    let refusal = refusal.into();
    tracing::info!(?refusal, "submission refused for good");
    match refusal {
        SubmissionError::Malformed(why) => {
            UserAnswer::Rejected(ApiError::Malformed(why.to_string()))
        }
        SubmissionError::NeverRuns(why) => {
            UserAnswer::Rejected(ApiError::NeverRuns(why.to_string()))
        }
    }
}

/// The answer about a job whose end was read.
fn ended(row: &store::KeyValue, id: &JobId) -> UserAnswer {
    EndedRecord::read(row).map_or(NO_STORE, |record| known(JobLookup::Ended(record), id))
}

/// The answer about a job that the store has.
fn known(found: JobLookup, id: &JobId) -> UserAnswer {
    match found {
        JobLookup::Live {
            standing,
            done,
            running,
            ..
        } => UserAnswer::Job {
            status: 200,
            id: id.clone(),
            standing,
            counts: Some((done, running)),
        },
        JobLookup::Ended(e) => {
            let done = if e.state == JobState::Done {
                e.tasks
            } else {
                0
            };
            UserAnswer::Job {
                status: 200,
                id: id.clone(),
                standing: e.state,
                counts: Some((done, 0)),
            }
        }
        JobLookup::NotFound | JobLookup::Unavailable => NO_STORE,
    }
}

struct Submit(Api);
struct Status(Api);
struct Abort(Api);
struct CheckIn(Api, ConnectionLimiter);
struct Up(Api);

async fn body(req: &mut Request) -> Option<Vec<u8>> {
    req.payload_with_max_size(MOST_BODY)
        .await
        .ok()
        .map(|b| b.to_vec())
}

#[handler]
impl Submit {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match body(req).await {
            Some(b) => self.0.submit(&b).await.render(res),
            None => {
                let error = ApiError::Malformed(BAD_BODY.into());
                UserAnswer::Rejected(error).render(res);
            }
        }
    }
}

#[handler]
impl Status {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        self.0.status(&id).await.render(res);
    }
}

#[handler]
impl Abort {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        self.0.abort(&id).await.render(res);
    }
}

#[handler]
impl CheckIn {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let (status, answer) = match body(req).await {
            Some(b) => self.0.report(&b).await,
            None => (400, json!({"error": BAD_BODY})),
        };
        // A worker that is not answered here goes elsewhere; and where sockets get
        // short, one that is comes back with its next report.
        if status != 200 || self.1.crowded() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        send(res, status, &answer);
    }
}

#[handler]
impl Up {
    async fn handle(&self, res: &mut Response) {
        let healthy = self.0.ports.view.borrow().healthy;
        send(
            res,
            if healthy { 200 } else { 503 },
            &json!({"up": healthy}),
        );
    }
}

/// Starts to listen and serves in the background.
pub async fn serve(
    settings: Arc<Settings>,
    sockets: &SocketShares,
    clock: MonotonicClock,
    ports: ApiChannels,
) -> Result<(), String> {
    let bind = settings.bind;
    let connection_limiter = ConnectionLimiter::new(&settings, sockets);
    let api = Api {
        settings,
        clock,
        ports,
    };
    let router = Router::new()
        .push(Router::with_path("v1/jobs").post(Submit(api.clone())))
        .push(Router::with_path("v1/jobs/{id}").get(Status(api.clone())))
        .push(Router::with_path("v1/jobs/{id}/abort").post(Abort(api.clone())))
        .push(Router::with_path("checkin").post(CheckIn(api.clone(), connection_limiter.clone())))
        .push(Router::with_path("up").get(Up(api)));
    let acceptor = TcpListener::new(bind)
        .try_bind()
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(
        Server::new(acceptor)
            .fuse_policy(connection_limiter)
            .serve(Service::new(router)),
    );
    Ok(())
}

#[cfg(test)]
mod tests;
