use super::ports::ApiView;
use super::*;
use tokio::sync::{mpsc, watch};

use crate::clock::Micros;
use crate::ids::{PartitionId, Term};
use crate::jobs::tests::{body as job, types};
use crate::settings::tests::settings;
use crate::workers::HeartbeatResponse;

type Find = fn(&JobId) -> JobLookup;
type Answers = fn(&Ask) -> Reply;

/// The users' side before a scripted store and core: what a transaction is answered,
/// how jobs are found, and what a report is answered.
fn api(view: ApiView, store: Answers, find: Find, orders: HeartbeatResponse) -> Api {
    let (questions, mut asked) = mpsc::channel::<StoreQuery>(16);
    let (reports, mut arrivals) = mpsc::channel::<HeartbeatRequest>(16);
    let (asks, mut asking) = mpsc::channel::<StatusQuery>(16);
    let (cancels, mut cancelled) = mpsc::channel::<CancelledJob>(16);
    tokio::spawn(async move {
        while let Some(q) = asked.recv().await {
            let _ = q.answer.send(store(&q.request));
        }
    });
    tokio::spawn(async move {
        while let Some(a) = asking.recv().await {
            let _ = a.answer.send(find(&a.id));
        }
    });
    tokio::spawn(async move {
        while let Some(a) = arrivals.recv().await {
            let _ = a.answer.send(HeartbeatAnswer::Accepted(orders.clone()));
        }
    });
    tokio::spawn(async move { while cancelled.recv().await.is_some() {} });
    let (_, view) = watch::channel(Arc::new(view));
    Api {
        settings: Arc::new(settings()),
        clock: MonotonicClock::start(),
        ports: ApiChannels {
            view,
            questions,
            reports,
            asks,
            cancels,
        },
    }
}

fn view() -> ApiView {
    ApiView {
        types: Some(Arc::new(types())),
        teams: vec![(PartitionId(0), Revision(3), Term(1)); 2],
        healthy: true,
        format: FormatLevel::NEWEST,
    }
}

fn orders(until: Micros) -> HeartbeatResponse {
    let token = crate::ids::FencingToken(7);
    let orders = Vec::new();
    HeartbeatResponse {
        fencing_token: token,
        commands: orders,
        valid_until: until,
    }
}

fn ended(standing: JobState) -> JobLookup {
    JobLookup::Ended(EndedRecord {
        state: standing,
        tasks: 4,
        footprint: None,
        ended_at: None,
    })
}

fn live() -> JobLookup {
    let rec = crate::jobs::tests::rec("j-000412", 4, Term(1));
    JobLookup::Live {
        revision: Revision(5),
        standing: JobState::Running,
        tasks: 4,
        footprint: rec.desc.footprint(),
        done: 1,
        running: 2,
    }
}

fn status(told: &UserAnswer) -> (u16, Option<JobState>) {
    match told {
        UserAnswer::Job {
            status, standing, ..
        } => (*status, Some(*standing)),
        UserAnswer::Rejected(error) => (error.status(), None),
        UserAnswer::Unavailable(_) => (503, None),
    }
}

async fn submit(view: ApiView, store: Answers, find: Find) -> UserAnswer {
    let api = api(view, store, find, orders(Micros::ZERO));
    api.submit(job().to_string().as_bytes()).await
}

/// Whatever the types, the team's partition and the store are just now: a node that says
/// no to a job that is known makes it forgotten.
#[tokio::test]
async fn a_repeat_of_a_known_job_is_told_how_it_stands_whatever_else_is_wrong() {
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
    let stores: [Answers; 4] = [
        |_| Reply::Rejected,
        |_| Reply::Indeterminate,
        // Its partition changes hands all the time.
        |_| Reply::Conflict(vec!["r/blocks/0/holder".into()]),
        |_| Reply::Conflict(vec!["r/jobs/j-000412".into()]),
    ];
    let finds: [(Find, JobState); 3] = [
        (|_| live(), JobState::Running),
        (|_| ended(JobState::Done), JobState::Done),
        (|_| ended(JobState::Cancelled), JobState::Cancelled),
    ];
    for (find, standing) in finds {
        for store in stores {
            for view in [view(), no_types(), other_types(), no_teams()] {
                let told = submit(view, store, find).await;
                assert_eq!(status(&told), (200, Some(standing)));
            }
        }
    }
}

#[tokio::test]
async fn a_new_job_that_cant_be_taken_is_refused_once_that_is_known() {
    let nothing: Find = |_| JobLookup::NotFound;
    let unreadable: Find = |_| JobLookup::Unavailable;
    let refused: Answers = |_| Reply::Rejected;
    let types = |types| ApiView { types, ..view() };
    let none = || types(Some(Arc::new(Vec::new())));
    assert_eq!(status(&submit(view(), refused, nothing).await).0, 503);
    assert_eq!(status(&submit(types(None), refused, nothing).await).0, 503);
    assert_eq!(status(&submit(none(), refused, nothing).await).0, 422);
    // It may have been accepted before: that can't be told now.
    assert_eq!(status(&submit(none(), refused, unreadable).await).0, 503);
    let told = submit(view(), |_| Reply::Committed(Revision(9)), nothing).await;
    assert_eq!(status(&told), (201, Some(JobState::Pending)));
}

/// The store has just been lost: readings have come of late, so a lookup waits for the next.
#[tokio::test]
async fn a_refusal_for_now_does_not_wait_for_a_reading_that_may_not_come() {
    let nothing: Find = |_| JobLookup::NotFound;
    let mut api = api(view(), |_| Reply::Rejected, nothing, orders(Micros::ZERO));
    let (asks, _unanswered) = mpsc::channel(16);
    api.ports.asks = asks;
    let begun = std::time::Instant::now();
    let told = api.submit(job().to_string().as_bytes()).await;
    assert_eq!(status(&told).0, 503);
    assert!(begun.elapsed() < 2 * LOOKUP, "{:?}", begun.elapsed());
}

/// `cancelled` against `done` at the same instant: one write decides, and the answer is
/// read from what it left.
#[tokio::test]
async fn a_cancellation_that_meets_the_end_of_a_job_is_told_what_the_store_decided() {
    use std::sync::atomic::{AtomicBool, Ordering};
    static ENDED: AtomicBool = AtomicBool::new(false);
    let lost: Answers = |_| {
        ENDED.store(true, Ordering::Relaxed);
        Reply::Conflict(vec!["r/jobs/j-000412".into()])
    };
    let find: Find = |_| {
        if ENDED.load(Ordering::Relaxed) {
            ended(JobState::Done)
        } else {
            live()
        }
    };
    let told = api(view(), lost, find, orders(Micros::ZERO));
    let told = told.abort("j-000412").await;
    assert_eq!(status(&told), (200, Some(JobState::Done)));
    // No answer to the write: it can't be said, and the repeat hears it.
    let unsure = api(
        view(),
        |_| Reply::Indeterminate,
        |_| live(),
        orders(Micros::ZERO),
    );
    assert_eq!(status(&unsure.abort("j-000412").await).0, 503);
    let won = api(
        view(),
        |_| Reply::Committed(Revision(9)),
        |_| live(),
        orders(Micros::ZERO),
    );
    let told = won.abort("j-000412").await;
    assert_eq!(status(&told), (200, Some(JobState::Cancelled)));
    let unknown = api(
        view(),
        |_| Reply::Indeterminate,
        |_| JobLookup::NotFound,
        orders(Micros::ZERO),
    );
    assert_eq!(status(&unknown.abort("j-000412").await).0, 404);
    let blind = api(
        view(),
        |_| Reply::Indeterminate,
        |_| JobLookup::Unavailable,
        orders(Micros::ZERO),
    );
    assert_eq!(status(&blind.abort("j-000412").await).0, 503);
}

/// A standstill between the decision and the bytes: the lease may be over.
#[tokio::test]
async fn an_answer_to_a_worker_does_not_leave_after_its_lease() {
    let report = json!({"rig": "m-1", "addr": "a:1", "build": "big", "yard": "x", "loaners": false,
        "shift": 1, "tally": 1, "baton": 0, "hands": []});
    let report = report.to_string();
    let none: Find = |_| JobLookup::NotFound;
    let within = api(
        view(),
        |_| Reply::Indeterminate,
        none,
        orders(Micros::from_secs(3_600.0)),
    );
    assert_eq!(within.report(report.as_bytes()).await.0, 200);
    let after = api(view(), |_| Reply::Indeterminate, none, orders(Micros(1)));
    assert_eq!(after.report(report.as_bytes()).await.0, 503);
}

/// A submission that names other jobs, before a store that holds some keys.
async fn submit_naming(named: Value, view: ApiView, store: Answers, find: Find) -> (u16, String) {
    let mut body = job();
    body["hinges"] = named;
    let api = api(view, store, find, orders(Micros::ZERO));
    let told = api.submit(body.to_string().as_bytes()).await;
    let why = match &told {
        UserAnswer::Rejected(error) => error.to_string(),
        UserAnswer::Unavailable(why) => (*why).to_owned(),
        UserAnswer::Job { .. } => String::new(),
    };
    (status(&told).0, why)
}

/// A store that has one live job and one that is over.
fn two_jobs(request: &Ask) -> Reply {
    let row = |key: &str| {
        Reply::Value(store::KeyValue {
            key: key.into(),
            value: json!({}),
            revision: Revision(4),
        })
    };
    match request {
        Ask::Get { key } if key == "r/jobs/j-1" || key == "ended/j-2" => row(key),
        Ask::Get { .. } => Reply::NotFound,
        _ => Reply::Committed(Revision(9)),
    }
}

#[tokio::test]
async fn a_submission_may_name_any_job_that_was_accepted_and_no_other() {
    let nothing: Find = |_| JobLookup::NotFound;
    let name = |named| submit_naming(named, view(), two_jobs, nothing);
    assert_eq!(name(json!(["j-1"])).await.0, 201);
    assert_eq!(name(json!(["j-2", "j-1", "j-2"])).await.0, 201);
    assert_eq!(name(json!([])).await.0, 201);
    assert_eq!(name(Value::Null).await.0, 201);
    let (status, why) = name(json!(["j-1", "j-3"])).await;
    assert_eq!((status, why.contains("j-3")), (422, true), "{why}");
    // Its own id was not accepted either, the first time.
    assert_eq!(name(json!(["j-000412"])).await.0, 422);
    for malformed in [
        json!("j-1"),
        json!([1]),
        json!(["x-1"]),
        json!({}),
        json!(["j-"]),
    ] {
        assert_eq!(name(malformed.clone()).await.0, 400, "{malformed}");
    }
}

#[tokio::test]
async fn what_a_submission_names_is_refused_for_good_only_after_a_reading_that_lacks_it() {
    let nothing: Find = |_| JobLookup::NotFound;
    let refused: Answers = |_| Reply::Rejected;
    let named = json!(["j-1"]);
    let told = submit_naming(named.clone(), view(), refused, nothing).await;
    assert_eq!(told.0, 503);
    // The live record is surely gone, and whether there is one of its end can't be read.
    let half: Answers = |request| match request {
        Ask::Get { key } if key.starts_with("r/jobs/") => Reply::NotFound,
        _ => Reply::Indeterminate,
    };
    let told = submit_naming(named.clone(), view(), half, nothing).await;
    assert_eq!(told.0, 503);
    // A repeat of a job that is known is told how it stands, whatever it names.
    let known: Find = |_| live();
    let has_it: Answers = |request| match request {
        Ask::CompareAndSwap { .. } => Reply::Conflict(vec!["r/jobs/j-000412".into()]),
        request => two_jobs(request),
    };
    for named in [json!(["j-3"]), json!(["j-000412"]), named] {
        for store in [refused, has_it] {
            let told = submit_naming(named.clone(), view(), store, known).await;
            assert_eq!(told.0, 200, "{named}");
        }
    }
}

/// A controller of the earlier version would start it at once.
#[tokio::test]
async fn a_job_that_names_others_is_taken_only_once_every_controller_understands_it() {
    let nothing: Find = |_| JobLookup::NotFound;
    let old = || ApiView {
        format: FormatLevel(0),
        ..view()
    };
    let told = submit_naming(json!(["j-1"]), old(), two_jobs, nothing).await;
    assert_eq!(told.0, 503);
    let told = submit_naming(json!([]), old(), two_jobs, nothing).await;
    assert_eq!(told.0, 201, "others as ever");
    let told = submit_naming(json!(["j-1"]), old(), two_jobs, |_| live()).await;
    assert_eq!(told.0, 200, "a repeat");
}

#[tokio::test]
async fn more_names_than_a_record_can_hold_are_refused_with_how_many_fit() {
    let names: Vec<String> = (0..2_000).map(|i| format!("j-{i:06}")).collect();
    let unasked: Answers = |_| panic!("nothing needs to be looked up");
    let told = submit_naming(json!(names), view(), unasked, |_| JobLookup::NotFound).await;
    assert_eq!(told.0, 422);
    let fitting = told.1.split(' ').find_map(|w| w.parse::<usize>().ok());
    assert_eq!(fitting, Some(2_000), "{}", told.1);
    let mut about = told.1.split(' ').filter_map(|w| w.parse::<usize>().ok());
    let about = about.next_back().expect("how many fit");
    let some = json!(names[..about - 20]);
    let told = submit_naming(some, view(), |_| Reply::NotFound, |_| JobLookup::NotFound).await;
    assert!(told.1.contains("never accepted"), "{}", told.1);
}

/// Seen as repeats that took half a second in a quiet store: the next reading of changes
/// came only when its time was up.
#[tokio::test]
async fn a_repeat_of_a_job_that_is_over_is_answered_from_its_record() {
    let over: Answers = |request| match request {
        Ask::CompareAndSwap { .. } => Reply::Conflict(vec!["ended/j-000412".into()]),
        Ask::Get { key } if key == "ended/j-000412" => Reply::Value(store::KeyValue {
            key: key.clone(),
            value: json!({"standing": "done", "tasks": 4}),
            revision: Revision(4),
        }),
        _ => Reply::NotFound,
    };
    let unasked: Find = |_| panic!("no reading is waited for");
    let told = submit(view(), over, unasked).await;
    assert_eq!(status(&told), (200, Some(JobState::Done)));
    let unreadable: Answers = |request| match request {
        Ask::CompareAndSwap { .. } => Reply::Conflict(vec!["ended/j-000412".into()]),
        _ => Reply::Indeterminate,
    };
    assert_eq!(status(&submit(view(), unreadable, unasked).await).0, 503);
}

/// As it is sent: the status, the headers that matter, and the body.
fn sent(res: Response) -> (u16, String, String) {
    let headers = [RETRY_AFTER, CONTENT_TYPE].map(|name| {
        let value = res.headers().get(name);
        value.map_or("", |v| v.to_str().expect("text")).to_owned()
    });
    let salvo::http::ResBody::Once(body) = &res.body else {
        panic!("a body at once");
    };
    let body = String::from_utf8(body.to_vec()).expect("text");
    let status = res.status_code.map_or(0, |s| s.as_u16());
    (status, headers.join(" "), body)
}

#[tokio::test]
async fn answers_to_users_keep_their_form() {
    let rendered = |told: UserAnswer| {
        let mut res = Response::new();
        told.render(&mut res);
        sent(res)
    };
    let gives = |status, body: &str| (status, " application/json".to_owned(), body.to_owned());
    let later = |why: &str| {
        let body = format!(r#"{{"error":"{why}"}}"#);
        (503, "1 application/json".to_owned(), body)
    };
    let taken: Answers = |_| Reply::Committed(Revision(9));
    let new: Find = |_| JobLookup::NotFound;
    let told = rendered(submit(view(), taken, new).await);
    assert_eq!(
        told,
        gives(201, r#"{"id":"j-000412","standing":"pending"}"#)
    );
    let with = |find| api(view(), taken, find, orders(Micros::ZERO));
    let (known, unknown) = (with(|_| live()), with(new));
    let running = r#"{"done":1,"id":"j-000412","running":2,"standing":"running"}"#;
    let told = rendered(known.status("j-000412").await);
    assert_eq!(told, gives(200, running));
    let cancelled = rendered(known.abort("j-000412").await);
    let expected = gives(200, r#"{"id":"j-000412","standing":"cancelled"}"#);
    assert_eq!(cancelled, expected);
    let over: [(Find, &str); 2] = [
        (
            |_| ended(JobState::Done),
            r#"{"done":4,"id":"j-000412","running":0,"standing":"done"}"#,
        ),
        (
            |_| ended(JobState::Cancelled),
            r#"{"done":0,"id":"j-000412","running":0,"standing":"cancelled"}"#,
        ),
    ];
    for (find, body) in over {
        let told = rendered(with(find).status("j-000412").await);
        assert_eq!(told, gives(200, body));
    }
    let told = rendered(unknown.submit(b"{").await);
    let body = r#"{"error":"not JSON: EOF while parsing an object at line 1 column 1"}"#;
    assert_eq!(told, gives(400, body));
    for told in [
        unknown.status("j-1").await,
        unknown.abort("j-1").await,
        known.status("x").await,
    ] {
        assert_eq!(rendered(told), gives(404, r#"{"error":"no such job"}"#));
    }
    let mut other = job();
    other["crew"] = json!("green");
    let told = rendered(unknown.submit(other.to_string().as_bytes()).await);
    assert_eq!(told, gives(422, r#"{"error":"unknown team green"}"#));
    let told = rendered(with(|_| JobLookup::Unavailable).status("j-1").await);
    assert_eq!(told, later("the state service can't be reached"));
    let types = ApiView {
        types: None,
        ..view()
    };
    let told = rendered(submit(types, taken, new).await);
    assert_eq!(told, later("machine types are not known yet"));
}

#[tokio::test]
async fn answers_to_workers_and_to_health_checks_keep_their_form() {
    let report = r#"{"rig":"m-1","addr":"a:1","build":"big","yard":"x","loaners":false,"shift":1,"tally":1,"baton":0,"hands":[]}"#;
    let hour = orders(Micros::from_secs(3_600.0));
    let with = |view| {
        api(
            view,
            |_| Reply::Indeterminate,
            |_| JobLookup::NotFound,
            hour.clone(),
        )
    };
    let mut api = with(view());
    let told = api.report(report.as_bytes()).await;
    assert_eq!(
        (told.0, told.1.to_string().as_str()),
        (200, r#"{"baton":7,"orders":[]}"#)
    );
    let told = api.report(b"{").await;
    assert_eq!(
        (told.0, told.1.to_string().as_str()),
        (400, r#"{"error":"malformed report"}"#)
    );
    let (reports, mut arrivals) = mpsc::channel::<HeartbeatRequest>(16);
    api.ports.reports = reports;
    tokio::spawn(async move {
        let first = arrivals.recv().await.expect("a report");
        let _ = first.answer.send(HeartbeatAnswer::Redirect("c1".into()));
        drop(arrivals.recv().await);
    });
    let told = api.report(report.as_bytes()).await;
    assert_eq!(
        (told.0, told.1.to_string().as_str()),
        (421, r#"{"answerTo":"c1"}"#)
    );
    let told = api.report(report.as_bytes()).await;
    let expected = (503, r#"{"error":"not entitled to answer"}"#);
    assert_eq!((told.0, told.1.to_string().as_str()), expected);
    for (healthy, status, body) in [
        (true, 200, r#"{"up":true}"#),
        (false, 503, r#"{"up":false}"#),
    ] {
        use salvo::prelude::{Depot, FlowCtrl, Handler};
        let up = Up(with(ApiView { healthy, ..view() }));
        let (mut req, mut depot) = (Request::default(), Depot::new());
        let (mut res, mut ctrl) = (Response::new(), FlowCtrl::new(vec![]));
        Handler::handle(&up, &mut req, &mut depot, &mut res, &mut ctrl).await;
        assert_eq!(
            sent(res),
            (status, " application/json".to_owned(), body.to_owned())
        );
    }
}
