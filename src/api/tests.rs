use super::*;
use crate::clock::Micros;
use crate::ids::{BlockId, Term};
use crate::jobs::tests::{body as job, types};
use crate::settings::tests::settings;
use crate::workers::Orders;

type Find = fn(&JobId) -> Found;
type Answers = fn(&Ask) -> Reply;

/// The users' side before a scripted store and core: what a transaction is answered,
/// how jobs are found, and what a report is answered.
fn api(view: View, store: Answers, find: Find, orders: Orders) -> Api {
    let (questions, mut asked) = mpsc::channel::<Question>(16);
    let (reports, mut arrivals) = mpsc::channel::<Arrived>(16);
    let (asks, mut asking) = mpsc::channel::<StatusQuery>(16);
    let (cancels, mut cancelled) = mpsc::channel::<Cancelled>(16);
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
            let _ = a.answer.send(Answer::Orders(orders.clone()));
        }
    });
    tokio::spawn(async move { while cancelled.recv().await.is_some() {} });
    let (_, view) = watch::channel(Arc::new(view));
    Api {
        settings: Arc::new(settings()),
        clock: Steady::start(),
        ports: Ports {
            view,
            questions,
            reports,
            asks,
            cancels,
        },
    }
}

fn view() -> View {
    View {
        types: Some(Arc::new(types())),
        teams: vec![(BlockId(0), Revision(3), Term(1)); 2],
        healthy: true,
        format: FormatLevel::NEWEST,
    }
}

fn orders(until: Micros) -> Orders {
    let token = crate::ids::FencingToken(7);
    let orders = Vec::new();
    Orders {
        token,
        orders,
        until,
    }
}

fn ended(standing: Standing) -> Found {
    Found::Ended(EndedRecord {
        standing,
        tasks: 4,
        footprint: None,
        at: None,
    })
}

fn live() -> Found {
    let rec = crate::jobs::tests::rec("j-000412", 4, Term(1));
    Found::Live {
        revision: Revision(5),
        standing: Standing::Running,
        tasks: 4,
        footprint: rec.desc.footprint(),
        done: 1,
        running: 2,
    }
}

fn status(told: &UserAnswer) -> (u16, Option<Standing>) {
    match told {
        UserAnswer::Job {
            status, standing, ..
        } => (*status, Some(*standing)),
        UserAnswer::Rejected(error) => (error.status(), None),
        UserAnswer::Unavailable(_) => (503, None),
    }
}

async fn submit(view: View, store: Answers, find: Find) -> UserAnswer {
    let api = api(view, store, find, orders(Micros::ZERO));
    api.submit(job().to_string().as_bytes()).await
}

/// Whatever the types, the team's block and the store are just now: a node that says
/// no to a job that is known makes it forgotten.
#[tokio::test]
async fn a_repeat_of_a_known_job_is_told_how_it_stands_whatever_else_is_wrong() {
    let no_types = || View {
        types: None,
        ..view()
    };
    let other_types = || View {
        types: Some(Arc::new(Vec::new())),
        ..view()
    };
    let no_teams = || View {
        teams: Vec::new(),
        ..view()
    };
    let stores: [Answers; 4] = [
        |_| Reply::Refused,
        |_| Reply::Unknown,
        // Its block changes hands all the time.
        |_| Reply::Conflict(vec!["r/blocks/0/holder".into()]),
        |_| Reply::Conflict(vec!["r/jobs/j-000412".into()]),
    ];
    let finds: [(Find, Standing); 3] = [
        (|_| live(), Standing::Running),
        (|_| ended(Standing::Done), Standing::Done),
        (|_| ended(Standing::Cancelled), Standing::Cancelled),
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
    let nothing: Find = |_| Found::Nothing;
    let unreadable: Find = |_| Found::Unreadable;
    let refused: Answers = |_| Reply::Refused;
    let types = |types| View { types, ..view() };
    let none = || types(Some(Arc::new(Vec::new())));
    assert_eq!(status(&submit(view(), refused, nothing).await).0, 503);
    assert_eq!(status(&submit(types(None), refused, nothing).await).0, 503);
    assert_eq!(status(&submit(none(), refused, nothing).await).0, 422);
    // It may have been accepted before: that can't be told now.
    assert_eq!(status(&submit(none(), refused, unreadable).await).0, 503);
    let told = submit(view(), |_| Reply::Committed(Revision(9)), nothing).await;
    assert_eq!(status(&told), (201, Some(Standing::Pending)));
}

/// The store has just been lost: readings have come of late, so a lookup waits for the next.
#[tokio::test]
async fn a_refusal_for_now_does_not_wait_for_a_reading_that_may_not_come() {
    let nothing: Find = |_| Found::Nothing;
    let mut api = api(view(), |_| Reply::Refused, nothing, orders(Micros::ZERO));
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
            ended(Standing::Done)
        } else {
            live()
        }
    };
    let told = api(view(), lost, find, orders(Micros::ZERO));
    let told = told.abort("j-000412").await;
    assert_eq!(status(&told), (200, Some(Standing::Done)));
    // No answer to the write: it can't be said, and the repeat hears it.
    let unsure = api(view(), |_| Reply::Unknown, |_| live(), orders(Micros::ZERO));
    assert_eq!(status(&unsure.abort("j-000412").await).0, 503);
    let won = api(
        view(),
        |_| Reply::Committed(Revision(9)),
        |_| live(),
        orders(Micros::ZERO),
    );
    let told = won.abort("j-000412").await;
    assert_eq!(status(&told), (200, Some(Standing::Cancelled)));
    let unknown = api(
        view(),
        |_| Reply::Unknown,
        |_| Found::Nothing,
        orders(Micros::ZERO),
    );
    assert_eq!(status(&unknown.abort("j-000412").await).0, 404);
    let blind = api(
        view(),
        |_| Reply::Unknown,
        |_| Found::Unreadable,
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
    let none: Find = |_| Found::Nothing;
    let within = api(
        view(),
        |_| Reply::Unknown,
        none,
        orders(Micros::from_secs(3_600.0)),
    );
    assert_eq!(within.report(report.as_bytes()).await.0, 200);
    let after = api(view(), |_| Reply::Unknown, none, orders(Micros(1)));
    assert_eq!(after.report(report.as_bytes()).await.0, 503);
}
