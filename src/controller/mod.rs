//! The controller: one core that decides, and the thin tasks around it.

pub mod core;
pub mod http;
pub mod messages;
#[cfg(test)]
mod tests;

use crate::api::{self, read_index::Found};
use crate::clock::{Micros, Steady, time_of_day};
use crate::fleet::client::Cloud;
use crate::ids::{JobId, Revision};
use crate::mesh;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::sockets::{CLOUD_SOCKETS, STORE_SOCKETS};
use crate::store::client::{Followed, Store};
use crate::store::{Reply, Request, Urgency};
use crate::subsystems::Subsystems;
use crate::workers::{Direct, Report};
use bytes::Bytes;
use core::Core;
use http::{Failure, HttpRequest, Pool, Pools};
use messages::{Answer, DirectAnswer, Effect, Input, View};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// A question to the state service from the users' side.
pub struct Question {
    /// What to ask.
    pub request: Request,
    /// Where the reply goes.
    pub answer: oneshot::Sender<Reply>,
}

/// A worker's report and where its answer goes.
pub struct Arrived {
    /// What the worker reported.
    pub report: Report,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// A cancellation that the store has confirmed.
pub struct Cancelled {
    /// The cancelled job.
    pub job: JobId,
    /// The store's revision at which it was cancelled.
    pub revision: Revision,
}

/// A user's question how a job stands.
pub struct StatusQuery {
    /// The job that is asked about.
    pub id: JobId,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Found>,
}

const TICK: Duration = Duration::from_millis(50);
/// Watches are reopened no faster than this.
const WATCH_GAP: Duration = Duration::from_millis(120);
const DO_DEADLINE: Duration = Duration::from_millis(2_500);

/// An address can't be listened on, or its limits don't allow it.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {addr}: {why}")]
pub struct ListenError {
    addr: String,
    why: String,
}

/// Runs until killed.
pub async fn run(
    settings: Settings,
    policy: Policy,
    subsystems: Subsystems,
) -> Result<(), ListenError> {
    let clock = Steady::start();
    let refused = |addr: &dyn std::fmt::Display, why: &dyn std::fmt::Display| ListenError {
        addr: addr.to_string(),
        why: why.to_string(),
    };
    let sockets = settings
        .sockets()
        .map_err(|e| refused(&settings.bind, &e))?;
    let p = &settings.platform;
    let share = 1.0 / p.initial_size.max(1) as f64;
    let state_pool = Rc::new(Pool::new(
        settings.endpoints.state.to_string(),
        STORE_SOCKETS,
    ));
    let store = Store::new(state_pool, clock, &p.state, share);
    let cloud = Rc::new(Cloud::new(
        Pool::new(settings.endpoints.cloud.to_string(), CLOUD_SOCKETS),
        clock,
        p.cloud.rps,
    ));
    let (inputs, inbox) = mpsc::channel::<Input>(1024);
    let (reports, arrivals) = mpsc::channel::<Arrived>(1024);
    let (asks, asking) = mpsc::channel::<StatusQuery>(1024);
    let (questions, asked) = mpsc::channel::<Question>(256);
    let (cancels, cancelled) = mpsc::channel::<Cancelled>(256);
    let (view_out, view) = watch::channel(Arc::new(View::default()));

    let listener = tokio::net::TcpListener::bind(settings.mesh_addr)
        .await
        .map_err(|e| refused(&settings.mesh_addr, &e))?;
    let (messages_in, messages) = mpsc::channel(64);
    spawn_local(mesh::listen(listener, sockets.peers, messages_in));
    spawn_local(forward(messages, inputs.clone(), Input::Mesh));
    let as_input = |Cancelled { job, revision }| Input::Cancelled { job, revision };
    spawn_local(forward(cancelled, inputs.clone(), as_input));
    let mut peers = Vec::new();
    for seed in &settings.seeds {
        let (frames, queue) = mpsc::channel::<Bytes>(32);
        spawn_local(mesh::dial(seed.addr, queue));
        peers.push(frames);
    }
    spawn_local(watch_store(store.clone(), clock, inputs.clone()));
    spawn_local(answer_questions(store.clone(), asked));
    let shared = Arc::new(settings.clone());
    let ports = api::Ports {
        view,
        questions,
        reports,
        asks,
        cancels,
    };
    api::serve(shared, &sockets, clock, ports)
        .await
        .map_err(|e| refused(&settings.bind, &e))?;
    tracing::info!(label = %settings.label, bind = %settings.bind, lease_s = settings.lease().as_secs(), "started");

    let core = Core::new(Rc::new(settings), Rc::new(policy), clock.now());
    let core = core.with_subsystems(&subsystems);
    Driver {
        core,
        clock,
        store,
        cloud,
        inputs,
        peers,
        view_out,
        workers: Pools::new(sockets.direct),
        tickets: BTreeMap::new(),
        questions: BTreeMap::new(),
        next: 0,
    }
    .run(inbox, arrivals, asking)
    .await;
    Ok(())
}

/// Hands on what comes from elsewhere as the core's input.
async fn forward<T>(
    mut from: mpsc::Receiver<T>,
    inputs: mpsc::Sender<Input>,
    input: impl Fn(T) -> Input,
) {
    while let Some(item) = from.recv().await {
        if inputs.send(input(item)).await.is_err() {
            return;
        }
    }
}

/// Keeps the mirror up to date: one full reading, then changes only.
async fn watch_store(store: Store, clock: Steady, inputs: mpsc::Sender<Input>) {
    loop {
        let sent = clock.now();
        let Some((rows, ledger)) = store.load().await else {
            tokio::time::sleep(Duration::from_millis(300)).await;
            continue;
        };
        if inputs
            .send(Input::Loaded { rows, ledger, sent })
            .await
            .is_err()
        {
            return;
        }
        let mut since = ledger;
        loop {
            let sent = clock.now();
            match store.follow(since).await {
                Followed::Changes(log, ledger) => {
                    since = ledger.max(since);
                    if inputs
                        .send(Input::Changes { log, ledger, sent })
                        .await
                        .is_err()
                    {
                        return;
                    }
                    tokio::time::sleep(WATCH_GAP).await;
                }
                Followed::TooOld => break,
                Followed::Failed => tokio::time::sleep(2 * WATCH_GAP).await,
            }
        }
    }
}

async fn answer_questions(store: Store, mut asked: mpsc::Receiver<Question>) {
    while let Some(q) = asked.recv().await {
        let store = store.clone();
        spawn_local(async move {
            let _ = q.answer.send(store.ask(q.request, Urgency::Prompt).await);
        });
    }
}

/// The request that carries commands straight to a worker.
pub(crate) fn direct_request(direct: &Direct) -> Result<HttpRequest, serde_json::Error> {
    let body = serde_json::to_value(direct)?;
    Ok(HttpRequest::post("/do".into(), body))
}

/// Commands straight to a worker.
async fn direct(worker: &Pool, direct: Direct, within: Duration) -> DirectAnswer {
    let Ok(request) = direct_request(&direct) else {
        return DirectAnswer::NotSent;
    };
    match worker.send(&request, within).await {
        Ok((200 | 409, body)) => match serde_json::from_slice::<Report>(&body) {
            Ok(r) => DirectAnswer::Report(r),
            Err(_) => DirectAnswer::Lost,
        },
        Err(Failure::NotSent) => DirectAnswer::NotSent,
        Ok(_) | Err(Failure::NoAnswer) => DirectAnswer::Lost,
    }
}

/// Feeds the core and carries out what it decides.
struct Driver {
    core: Core,
    clock: Steady,
    store: Store,
    cloud: Rc<Cloud>,
    inputs: mpsc::Sender<Input>,
    peers: Vec<mpsc::Sender<Bytes>>,
    view_out: watch::Sender<Arc<View>>,
    workers: Pools,
    tickets: BTreeMap<u64, oneshot::Sender<Answer>>,
    questions: BTreeMap<u64, oneshot::Sender<Found>>,
    next: u64,
}

impl Driver {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input>,
        mut arrivals: mpsc::Receiver<Arrived>,
        mut asking: mpsc::Receiver<StatusQuery>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                // Answers and changes before new work.
                biased;
                _ = tick.tick() => Input::Tick,
                Some(input) = inbox.recv() => input,
                Some(a) = asking.recv() => {
                    self.next += 1;
                    self.questions.insert(self.next, a.answer);
                    Input::Ask { id: a.id, ticket: self.next }
                }
                Some(a) = arrivals.recv() => {
                    self.next += 1;
                    self.tickets.insert(self.next, a.answer);
                    Input::CheckIn { report: a.report, ticket: self.next }
                }
            };
            let effects = self.core.handle(self.clock.now(), time_of_day(), input);
            for e in effects {
                self.carry_out(e);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let inputs = self.inputs.clone();
        match effect {
            Effect::Store {
                tag,
                request,
                urgency,
            } => {
                let store = self.store.clone();
                spawn_local(async move {
                    let reply = store.ask(request, urgency).await;
                    tracing::debug!(?tag, ?reply, "stored");
                    let _ = inputs.send(Input::Stored { tag, reply }).await;
                });
            }
            Effect::Answer { ticket, answer } => {
                if let Some(to) = self.tickets.remove(&ticket) {
                    let _ = to.send(answer);
                }
            }
            Effect::Found { ticket, found } => {
                if let Some(to) = self.questions.remove(&ticket) {
                    let _ = to.send(found);
                }
            }
            Effect::Do {
                block,
                term,
                machine,
                addr,
                direct: orders,
                until,
            } => {
                let worker = self.workers.to(&addr);
                let within = until.since(self.clock.now()).duration();
                spawn_local(async move {
                    let answer = direct(&worker, orders, DO_DEADLINE.min(within)).await;
                    let _ = inputs
                        .send(Input::DirectAnswer {
                            block,
                            term,
                            machine,
                            answer,
                        })
                        .await;
                });
            }
            Effect::Cloud(request) => {
                let cloud = self.cloud.clone();
                spawn_local(async move {
                    let reply = cloud.ask(&request).await;
                    let _ = inputs.send(Input::Cloud { request, reply }).await;
                });
            }
            Effect::Mesh(message) => {
                if let Some(frame) = mesh::encode(&message) {
                    for peer in &self.peers {
                        // A peer that does not take it gets the next one, and its watch
                        // tells it what it has to know.
                        let _ = peer.try_send(frame.clone());
                    }
                }
            }
            Effect::View(view) => {
                let _ = self.view_out.send(view);
            }
        }
    }
}

/// For callers that only need whole seconds in a header.
pub fn retry_after(wait: Micros) -> String {
    (wait.0.div_ceil(1_000_000)).max(1).to_string()
}
