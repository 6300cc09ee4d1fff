//! Feeds the core and carries out what it decides.
//!
//! It owns the clock, the clients and the channels. Whatever takes time runs in a task of its
//! own and comes back as an input, so the core never waits.

use super::core::Core;
use super::direct_commands::send_direct_command;
use super::messages::{DirectAnswer, Effect, Input, StoreOperation};
use crate::api::ports::{ApiView, HeartbeatAnswer, HeartbeatRequest, StatusQuery};
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

/// How often the core runs its periodic checks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A direct command without an answer is given up after this.
const DIRECT_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Requests that wait for the core's answer, by the ids that the core knows them by.
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
    /// Remembers where an answer goes, under a new id.
    fn insert(&mut self, answer: oneshot::Sender<T>) -> u64 {
        self.last_id += 1;
        self.answers.insert(self.last_id, answer);
        self.last_id
    }

    /// Sends an answer to whoever waits for it, if anybody still does.
    fn send(&mut self, id: u64, value: T) {
        if let Some(answer) = self.answers.remove(&id) {
            let _ = answer.send(value);
        }
    }
}

/// The core with all that it needs to be fed and to be carried out.
pub(super) struct Driver {
    pub(super) core: Core,
    pub(super) clock: MonotonicClock,
    pub(super) store: KvClient,
    pub(super) cloud: Rc<CloudClient>,
    /// The core's inbox, for what comes back from the tasks.
    pub(super) inputs: mpsc::Sender<Input>,
    /// A queue of frames for each peer.
    pub(super) peers: Vec<mpsc::Sender<Bytes>>,
    pub(super) view_out: watch::Sender<Arc<ApiView>>,
    pub(super) workers: ConnectionPools,
    pub(super) heartbeat_answers: PendingAnswers<HeartbeatAnswer>,
    pub(super) job_lookup_answers: PendingAnswers<JobLookup>,
}

impl Driver {
    /// Runs until the process ends. Ticks, replies and changes come before new work.
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
            Effect::Mesh(message) => self.send_to_peers(&message),
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
            // A peer whose queue is full gets the next one, and its watch gives it what it
            // has to know.
            let _ = peer.try_send(frame.clone());
        }
    }
}
