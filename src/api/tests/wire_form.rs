//! Guards against changes to the protocol of users and workers: statuses, headers and bodies must
//! stay byte for byte.

use super::{
    LookUp, StoreReply, ended, live, no_commands, not_found, submission_body, submit, user_context,
    view, worker_context,
};
use crate::api::answers::{UserAnswer, WorkerAnswer};
use crate::api::channels::{ApiView, HeartbeatAnswer, HeartbeatRequest};
use crate::api::health::HealthHandler;
use crate::api::read_index::JobLookup;
use crate::clock::Micros;
use crate::ids::Revision;
use crate::jobs::JobState;
use crate::store::Reply;
use salvo::http::ResBody;
use salvo::http::header::{CONTENT_TYPE, RETRY_AFTER};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};
use serde_json::json;
use tokio::sync::mpsc;

/// Returns the status, the checked headers and the body of a response.
fn status_headers_and_body(response: Response) -> (u16, String, String) {
    let headers = [RETRY_AFTER, CONTENT_TYPE].map(|name| {
        let value = response.headers().get(name);
        value
            .map_or("", |value| value.to_str().expect("text"))
            .to_owned()
    });
    let ResBody::Once(body) = &response.body else {
        panic!("the body is not a single chunk");
    };
    let body = String::from_utf8(body.to_vec()).expect("text");
    let status = response.status_code.map_or(0, |status| status.as_u16());
    (status, headers.join(" "), body)
}

#[tokio::test]
async fn answers_to_users_keep_their_wire_form() {
    let rendered = |answer: UserAnswer| {
        let mut response = Response::new();
        answer.render(&mut response);
        status_headers_and_body(response)
    };
    let reply = |status, body: &str| (status, " application/json".to_owned(), body.to_owned());
    let retry_later = |reason: &str| {
        let body = format!(r#"{{"error":"{reason}"}}"#);
        (503, "1 application/json".to_owned(), body)
    };
    let committed: StoreReply = |_| Reply::Committed(Revision(9));
    let answer = rendered(submit(view(), committed, not_found).await);
    assert_eq!(
        answer,
        reply(201, r#"{"id":"j-000412","standing":"pending"}"#)
    );
    let context_with = |look_up| user_context(view(), committed, look_up);
    let (known, unknown) = (context_with(|_| live()), context_with(not_found));
    let running = r#"{"done":1,"id":"j-000412","running":2,"standing":"running"}"#;
    let answer = rendered(known.status("j-000412").await);
    assert_eq!(answer, reply(200, running));
    let cancelled = rendered(known.cancel("j-000412").await);
    let expected = reply(200, r#"{"id":"j-000412","standing":"cancelled"}"#);
    assert_eq!(cancelled, expected);
    let ends: [(LookUp, &str); 2] = [
        (
            |_| ended(JobState::Done),
            r#"{"done":4,"id":"j-000412","running":0,"standing":"done"}"#,
        ),
        (
            |_| ended(JobState::Cancelled),
            r#"{"done":0,"id":"j-000412","running":0,"standing":"cancelled"}"#,
        ),
    ];
    for (look_up, body) in ends {
        let answer = rendered(context_with(look_up).status("j-000412").await);
        assert_eq!(answer, reply(200, body));
    }
    let answer = rendered(unknown.submit(b"{").await);
    let body = r#"{"error":"not JSON: EOF while parsing an object at line 1 column 1"}"#;
    assert_eq!(answer, reply(400, body));
    for answer in [
        unknown.status("j-1").await,
        unknown.cancel("j-1").await,
        known.status("x").await,
    ] {
        assert_eq!(rendered(answer), reply(404, r#"{"error":"no such job"}"#));
    }
    let mut other = submission_body();
    other["crew"] = json!("green");
    let answer = rendered(unknown.submit(other.to_string().as_bytes()).await);
    assert_eq!(answer, reply(422, r#"{"error":"unknown team green"}"#));
    let answer = rendered(context_with(|_| JobLookup::Unavailable).status("j-1").await);
    assert_eq!(answer, retry_later("the state service can't be reached"));
    let no_types = ApiView {
        types: None,
        ..view()
    };
    let answer = rendered(submit(no_types, committed, not_found).await);
    assert_eq!(answer, retry_later("machine types are not known yet"));
}

#[tokio::test]
async fn answers_to_workers_keep_their_wire_form() {
    let heartbeat = r#"{"rig":"m-1","addr":"a:1","build":"big","yard":"x","loaners":false,"shift":1,"tally":1,"baton":0,"hands":[]}"#;
    let status_and_body =
        |answer: WorkerAnswer| (answer.status().as_u16(), answer.body().to_string());
    let reply = |status, body: &str| (status, body.to_owned());
    let mut context = worker_context(view(), no_commands(Micros::from_secs(3_600.0)));
    let answer = context.heartbeat(heartbeat.as_bytes()).await;
    assert_eq!(
        status_and_body(answer),
        reply(200, r#"{"baton":7,"orders":[]}"#)
    );
    let answer = context.heartbeat(b"{").await;
    let expected = reply(400, r#"{"error":"malformed report"}"#);
    assert_eq!(status_and_body(answer), expected);
    let (heartbeats, mut sent_heartbeats) = mpsc::channel::<HeartbeatRequest>(16);
    context.channels.heartbeats = heartbeats;
    tokio::spawn(async move {
        let first = sent_heartbeats.recv().await.expect("a heartbeat");
        let _ = first.answer.send(HeartbeatAnswer::Redirect("c1".into()));
        drop(sent_heartbeats.recv().await);
    });
    let answer = context.heartbeat(heartbeat.as_bytes()).await;
    assert_eq!(status_and_body(answer), reply(421, r#"{"answerTo":"c1"}"#));
    let answer = context.heartbeat(heartbeat.as_bytes()).await;
    let expected = reply(503, r#"{"error":"not entitled to answer"}"#);
    assert_eq!(status_and_body(answer), expected);
}

#[tokio::test]
async fn answers_to_health_checks_keep_their_wire_form() {
    for (healthy, status, body) in [
        (true, 200, r#"{"up":true}"#),
        (false, 503, r#"{"up":false}"#),
    ] {
        let response = no_commands(Micros::from_secs(3_600.0));
        let handler = HealthHandler(worker_context(ApiView { healthy, ..view() }, response));
        let (mut request, mut depot) = (Request::default(), Depot::new());
        let (mut response, mut control) = (Response::new(), FlowCtrl::new(vec![]));
        Handler::handle(
            &handler,
            &mut request,
            &mut depot,
            &mut response,
            &mut control,
        )
        .await;
        assert_eq!(
            status_headers_and_body(response),
            (status, " application/json".to_owned(), body.to_owned())
        );
    }
}
