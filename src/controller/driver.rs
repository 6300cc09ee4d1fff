//! The driver: passes inputs to the core and carries out the effects that the core returns.
//!
//! It owns the clock, the clients and the channels. Each operation that takes time runs in a
//! separate task, and its result is sent to the core as an input. The core therefore never
//! waits.

use super::core::Core;
use super::direct_commands::send_direct_command;
use super::messages::{DirectAnswer, Effect, Input, StoreOperation};
use crate::api::channels::{ApiView, HeartbeatAnswer, HeartbeatRequest, StatusQuery};
use crate::api::read_index::JobLookup;
use crate::clock::{Micros, MonotonicClock, wall_clock_now};
use crate::cloud::CloudRequest;
use crate::cloud::client::CloudClient;
use crate::http_client::ConnectionPools;
use crate::mesh::{self, Message};
use crate::store::client::KvClient;
use crate::store::{Request, RequestPriority};
use crate::workers::DirectCommand;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;

/// Interval between two runs of the core's periodic checks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time to wait for the answer to a direct command.
const DIRECT_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Requests that await an answer of the core, by the request ids that the core uses for them.
pub(super) struct PendingAnswers<T> {
    answers: BTreeMap<u64, oneshot::Sender<T>>,
    last_id: u64,
}

impl<T> Default for PendingAnswers<T> {
    fn default() -> Self {
        PendingAnswers {
            answers: BTreeMap::new(),
            last_id: 0,
        }
    }
}

impl<T> PendingAnswers<T> {
    /// Registers the channel for an answer and returns its new request id.
    fn insert(&mut self, answer: oneshot::Sender<T>) -> u64 {
        self.last_id += 1;
        self.answers.insert(self.last_id, answer);
        self.last_id
    }

    /// Sends the answer to a request. The answer is discarded if the requester no longer waits
    /// for it.
    fn send(&mut self, id: u64, value: T) {
        if let Some(answer) = self.answers.remove(&id) {
            let _ = answer.send(value);
        }
    }
}

/// The core, with the clock, clients and channels that connect it to its surroundings.
pub(super) struct Driver {
    pub(super) core: Core,
    pub(super) clock: MonotonicClock,
    pub(super) store: KvClient,
    pub(super) cloud: Rc<CloudClient>,
    /// Sending end of the core's input queue, for the results of spawned tasks.
    pub(super) inputs: mpsc::Sender<Input>,
    /// Queues of outgoing frames, one for each peer.
    pub(super) peers: Vec<mpsc::Sender<Bytes>>,
    pub(super) view_out: watch::Sender<Arc<ApiView>>,
    pub(super) workers: ConnectionPools,
    pub(super) heartbeat_answers: PendingAnswers<HeartbeatAnswer>,
    pub(super) job_lookup_answers: PendingAnswers<JobLookup>,
}

impl Driver {
    /// Runs until the process ends. Ticks come first, then replies, store changes and peers'
    /// messages, and only then new requests: job lookups before heartbeats.
    pub(super) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input>,
        mut heartbeats: mpsc::Receiver<HeartbeatRequest>,
        mut job_lookups: mpsc::Receiver<StatusQuery>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                biased;
                _ = ticks.tick() => Input::Tick,
                Some(input) = inbox.recv() => input,
                Some(query) = job_lookups.recv() => self.job_lookup_input(query),
                Some(request) = heartbeats.recv() => self.heartbeat_input(request),
            };
            let effects = self.core.handle(self.clock.now(), wall_clock_now(), input);
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    fn job_lookup_input(&mut self, query: StatusQuery) -> Input {
        Input::JobLookup {
            id: query.id,
            request_id: self.job_lookup_answers.insert(query.answer),
        }
    }

    fn heartbeat_input(&mut self, request: HeartbeatRequest) -> Input {
        Input::Heartbeat {
            heartbeat: request.heartbeat,
            request_id: self.heartbeat_answers.insert(request.answer),
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::StoreRequest {
                operation,
                request,
                priority,
            } => self.execute_store_request(operation, request, priority),
            Effect::AnswerHeartbeat { request_id, answer } => {
                self.heartbeat_answers.send(request_id, answer);
            }
            Effect::AnswerJobLookup { request_id, lookup } => {
                self.job_lookup_answers.send(request_id, lookup);
            }
            Effect::SendDirectCommand {
                partition,
                term,
                machine,
                addr,
                command,
                send_before,
            } => self.send_direct_command(&addr, command, send_before, move |answer| {
                Input::DirectCommandReply {
                    partition,
                    term,
                    machine,
                    answer,
                }
            }),
            Effect::Cloud(request) => self.execute_cloud_request(request),
            Effect::SendToPeers(message) => self.send_to_peers(&message),
            Effect::PublishView(view) => {
                let _ = self.view_out.send(view);
            }
        }
    }

    fn execute_store_request(
        &self,
        operation: StoreOperation,
        request: Request,
        priority: RequestPriority,
    ) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let reply = store.execute(request, priority).await;
            tracing::debug!(?operation, ?reply, "store request completed");
            let _ = inputs.send(Input::StoreReply { operation, reply }).await;
        });
    }

    fn send_direct_command(
        &mut self,
        addr: &str,
        command: DirectCommand,
        send_before: Micros,
        to_input: impl FnOnce(DirectAnswer) -> Input + 'static,
    ) {
        let worker = self.workers.for_address(addr);
        let remaining = send_before.since(self.clock.now()).duration();
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let within = DIRECT_COMMAND_TIMEOUT.min(remaining);
            let answer = send_direct_command(&worker, command, within).await;
            let _ = inputs.send(to_input(answer)).await;
        });
    }

    fn execute_cloud_request(&self, request: CloudRequest) {
        let cloud = self.cloud.clone();
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let reply = cloud.execute(&request).await;
            let _ = inputs.send(Input::CloudReply { request, reply }).await;
        });
    }

    fn send_to_peers(&self, message: &Message) {
        let Ok(frame) = mesh::encode(message) else {
            return;
        };
        for peer in &self.peers {
            // If the queue is full, the frame is dropped. The peer receives a later frame, and
            // reads everything that it depends on from its own watch of the store.
            let _ = peer.try_send(frame.clone());
        }
    }
}
