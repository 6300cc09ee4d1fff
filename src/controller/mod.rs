//! The controller: one core that decides, and the thin tasks around it.

pub mod core;
pub mod messages;
#[cfg(test)]
mod tests;

use crate::api::ports::{ApiView, HeartbeatAnswer};
use crate::api::ports::{CancelledJob, HeartbeatRequest, StatusQuery, StoreQuery};
use crate::api::{self, read_index::JobLookup};
use crate::clock::{Micros, MonotonicClock, wall_clock_now};
use crate::cloud::client::CloudClient;
use crate::http_client::{Failure, HttpRequest, Pool, Pools};

use crate::mesh;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::sockets::{CLOUD_SOCKETS, STORE_SOCKETS};
use crate::store::RequestPriority;
use crate::store::client::{KvClient, WatchResponse};
use crate::subsystems::Subsystems;
use crate::workers::{DirectCommand, Heartbeat};
use bytes::Bytes;
use core::Core;
use messages::{DirectAnswer, Effect, Input};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

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
    let clock = MonotonicClock::start();
    let refused = |addr: &dyn std::fmt::Display, why: &dyn std::fmt::Display| ListenError {
        addr: addr.to_string(),
        why: why.to_string(),
    };
    let sockets = settings
        .socket_shares()
        .map_err(|e| refused(&settings.bind, &e))?;
    let p = &settings.platform;
    let share = 1.0 / p.initial_size.max(1) as f64;
    let state_pool = Rc::new(Pool::new(
        settings.endpoints.state.to_string(),
        STORE_SOCKETS,
    ));
    let store = KvClient::new(state_pool, clock, &p.state, share);
    let cloud = Rc::new(CloudClient::new(
        Pool::new(settings.endpoints.cloud.to_string(), CLOUD_SOCKETS),
        clock,
        p.cloud.rps,
    ));
    let (inputs, inbox) = mpsc::channel::<Input>(1024);
    let (reports, arrivals) = mpsc::channel::<HeartbeatRequest>(1024);
    let (asks, asking) = mpsc::channel::<StatusQuery>(1024);
    let (questions, asked) = mpsc::channel::<StoreQuery>(256);
    let (cancels, cancelled) = mpsc::channel::<CancelledJob>(256);
    let (view_out, view) = watch::channel(Arc::new(ApiView::default()));

    let listener = tokio::net::TcpListener::bind(settings.mesh_addr)
        .await
        .map_err(|e| refused(&settings.mesh_addr, &e))?;
    let (messages_in, messages) = mpsc::channel(64);
    spawn_local(mesh::listen(listener, sockets.peers, messages_in));
    spawn_local(forward(messages, inputs.clone(), Input::Mesh));
    let as_input = |CancelledJob { job, revision }| Input::Cancelled { job, revision };
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
    let ports = api::ports::ApiChannels {
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
        workers: Pools::new(sockets.direct_commands),
        request_ids: BTreeMap::new(),
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

/// Keeps the cache up to date: one full reading, then changes only.
async fn watch_store(store: KvClient, clock: MonotonicClock, inputs: mpsc::Sender<Input>) {
    loop {
        let sent = clock.now();
        let Some((rows, revision)) = store.load_all().await else {
            tokio::time::sleep(Duration::from_millis(300)).await;
            continue;
        };
        if inputs
            .send(Input::Loaded {
                entries: rows,
                revision,
                requested_at: sent,
            })
            .await
            .is_err()
        {
            return;
        }
        let mut since = revision;
        loop {
            let sent = clock.now();
            match store.watch(since).await {
                WatchResponse::Events(log, revision) => {
                    since = revision.max(since);
                    if inputs
                        .send(Input::Changes {
                            events: log,
                            revision,
                            requested_at: sent,
                        })
                        .await
                        .is_err()
                    {
                        return;
                    }
                    tokio::time::sleep(WATCH_GAP).await;
                }
                WatchResponse::Compacted => break,
                WatchResponse::Failed => tokio::time::sleep(2 * WATCH_GAP).await,
            }
        }
    }
}

async fn answer_questions(store: KvClient, mut asked: mpsc::Receiver<StoreQuery>) {
    while let Some(q) = asked.recv().await {
        let store = store.clone();
        spawn_local(async move {
            let _ = q
                .answer
                .send(store.execute(q.request, RequestPriority::Normal).await);
        });
    }
}

/// The request that carries commands straight to a worker.
pub(crate) fn direct_request(direct: &DirectCommand) -> Result<HttpRequest, serde_json::Error> {
    let body = serde_json::to_value(direct)?;
    Ok(HttpRequest::post("/do".into(), body))
}

/// Commands straight to a worker.
async fn direct(worker: &Pool, direct: DirectCommand, within: Duration) -> DirectAnswer {
    let Ok(request) = direct_request(&direct) else {
        return DirectAnswer::NotSent;
    };
    match worker.send(&request, within).await {
        Ok((200 | 409, body)) => match serde_json::from_slice::<Heartbeat>(&body) {
            Ok(r) => DirectAnswer::Heartbeat(r),
            Err(_) => DirectAnswer::Indeterminate,
        },
        Err(Failure::NotSent) => DirectAnswer::NotSent,
        Ok(_) | Err(Failure::NoAnswer) => DirectAnswer::Indeterminate,
    }
}

/// Feeds the core and carries out what it decides.
struct Driver {
    core: Core,
    clock: MonotonicClock,
    store: KvClient,
    cloud: Rc<CloudClient>,
    inputs: mpsc::Sender<Input>,
    peers: Vec<mpsc::Sender<Bytes>>,
    view_out: watch::Sender<Arc<ApiView>>,
    workers: Pools,
    request_ids: BTreeMap<u64, oneshot::Sender<HeartbeatAnswer>>,
    questions: BTreeMap<u64, oneshot::Sender<JobLookup>>,
    next: u64,
}

impl Driver {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input>,
        mut arrivals: mpsc::Receiver<HeartbeatRequest>,
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
                    Input::JobLookup { id: a.id, request_id: self.next }
                }
                Some(a) = arrivals.recv() => {
                    self.next += 1;
                    self.request_ids.insert(self.next, a.answer);
                    Input::Heartbeat { heartbeat: a.report, request_id: self.next }
                }
            };
            let effects = self.core.handle(self.clock.now(), wall_clock_now(), input);
            for e in effects {
                self.carry_out(e);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let inputs = self.inputs.clone();
        match effect {
            Effect::StoreRequest {
                operation: tag,
                request,
                priority,
            } => {
                let store = self.store.clone();
                spawn_local(async move {
                    let reply = store.execute(request, priority).await;
                    tracing::debug!(?tag, ?reply, "stored");
                    let _ = inputs
                        .send(Input::StoreReply {
                            operation: tag,
                            reply,
                        })
                        .await;
                });
            }
            Effect::AnswerHeartbeat { request_id, answer } => {
                if let Some(to) = self.request_ids.remove(&request_id) {
                    let _ = to.send(answer);
                }
            }
            Effect::AnswerJobLookup {
                request_id,
                lookup: found,
            } => {
                if let Some(to) = self.questions.remove(&request_id) {
                    let _ = to.send(found);
                }
            }
            Effect::SendDirectCommand {
                partition,
                term,
                machine,
                addr,
                command: orders,
                send_before: until,
            } => {
                let worker = self.workers.to(&addr);
                let within = until.since(self.clock.now()).duration();
                spawn_local(async move {
                    let answer = direct(&worker, orders, DO_DEADLINE.min(within)).await;
                    let _ = inputs
                        .send(Input::DirectCommandReply {
                            partition,
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
                    let reply = cloud.execute(&request).await;
                    let _ = inputs.send(Input::CloudReply { request, reply }).await;
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
            Effect::PublishView(view) => {
                let _ = self.view_out.send(view);
            }
        }
    }
}

/// For callers that only need whole seconds in a header.
pub fn retry_after(wait: Micros) -> String {
    (wait.0.div_ceil(1_000_000)).max(1).to_string()
}
