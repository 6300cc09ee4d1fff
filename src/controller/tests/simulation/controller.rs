//! A controller of the simulation: the core, its settings and its position in the store's watch
//! log.
//!
//! This module passes inputs to the cores and executes the effects that they return, with the
//! simulated store, cloud, workers and peers.

use super::network::ControllerFaults;
use super::{Simulation, secs};
use crate::api::channels::{ApiView, HeartbeatAnswer};
use crate::clock::Micros;
use crate::controller::core::Core;
use crate::controller::messages::{DirectAnswer, Effect, Input, StoreChanges, StoreSnapshot};
use crate::ids::{Label, Revision};
use crate::mesh::Message;
use crate::policy::tests::built_in;
use crate::settings::Settings;
use crate::store::{WatchEvent, keys};
use crate::subsystems::Subsystems;
use crate::workers::Heartbeat;
use std::rc::Rc;
use std::sync::Arc;

/// Request identifier of the heartbeats that workers send.
const HEARTBEAT_REQUEST: u64 = 1;

/// Time in seconds until a worker that cannot connect to a controller tries the next one.
const CONNECT_RETRY_INTERVAL_S: f64 = 1.0;

/// A controller of the simulation.
pub struct ControllerNode {
    /// State of the controller's process. `None`: the process is not running.
    pub core: Option<Core>,
    /// Settings of the controller.
    pub settings: Rc<Settings>,
    /// Store revision up to which the controller has received all changes.
    watched_revision: u64,
    /// Whether the controller has listed the store since it started or lost its watch.
    has_listed_store: bool,
    /// Active faults of the controller.
    pub faults: ControllerFaults,
    /// Subsystems that are enabled at the next start of the controller.
    pub subsystems: Subsystems,
    /// State that the controller's API serves.
    pub view: Arc<ApiView>,
}

impl ControllerNode {
    /// Creates a controller that has not been started.
    pub fn new(settings: Settings) -> ControllerNode {
        ControllerNode {
            core: None,
            settings: Rc::new(settings),
            watched_revision: 0,
            has_listed_store: false,
            faults: ControllerFaults::default(),
            subsystems: Subsystems::default(),
            view: Arc::default(),
        }
    }

    /// Starts the controller's process with empty state.
    pub fn start(&mut self, now: Micros, idle_release_after: Micros) {
        // The simulation's default is so long that idle machines are not released unless a test
        // sets a shorter time.
        let mut policy = built_in();
        policy.spot_idle_timeout = idle_release_after;
        policy.on_demand_idle_timeout = idle_release_after;
        let core = Core::new(self.settings.clone(), Rc::new(policy), now);
        self.core = Some(core.with_subsystems(&self.subsystems));
        self.has_listed_store = false;
    }

    /// Returns whether the controller's process exists and is not paused.
    pub fn is_running(&self) -> bool {
        self.core.is_some() && !self.faults.is_paused
    }

    /// Returns whether heartbeats of workers reach the controller.
    pub fn accepts_workers(&self) -> bool {
        self.is_running() && !self.faults.is_cut_from_workers
    }

    /// Returns whether the store answers the controller's requests, provided that the store is up.
    pub fn reaches_store(&self) -> bool {
        !self.faults.is_cut_from_store && !self.faults.is_rejected_by_store
    }

    /// Makes the controller list the whole store again, as if the store had compacted the log
    /// entries that its watch needs next.
    pub fn lose_watch(&mut self) {
        self.has_listed_store = false;
    }

    /// Isolates the controller from the store and from its peers, but not from workers, or
    /// reconnects it.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.faults.is_cut_from_store = is_isolated;
        self.faults.is_cut_from_peers = is_isolated;
    }
}

impl Simulation {
    /// Starts the process of a controller.
    pub fn start_controller(&mut self, controller: usize) {
        let (now, idle_release_after) = (self.now, self.idle_release_after);
        self.controllers[controller].start(now, idle_release_after);
    }

    /// Starts the processes of all controllers.
    pub fn start_all_controllers(&mut self) {
        (0..self.controllers.len()).for_each(|controller| self.start_controller(controller));
    }

    /// Ends the process of a controller.
    pub fn crash_controller(&mut self, controller: usize) {
        self.controllers[controller].core = None;
    }

    /// Ends the processes of all controllers.
    pub fn crash_all_controllers(&mut self) {
        (0..self.controllers.len()).for_each(|controller| self.crash_controller(controller));
    }

    /// Ends the process of a controller and starts it again immediately.
    pub fn restart_controller(&mut self, controller: usize) {
        self.crash_controller(controller);
        self.start_controller(controller);
    }

    /// Ends the process of the first partition's owner and returns the index of that controller.
    pub fn crash_owner(&mut self) -> usize {
        let owner = self.owner();
        self.crash_controller(owner);
        owner
    }

    /// Passes an input to a controller, executes all effects, and passes their replies to the
    /// controller as further inputs. Returns the answer to a heartbeat, or `None` if there was no
    /// heartbeat or the controller is not running.
    pub fn handle_input(&mut self, controller: usize, input: Input) -> Option<HeartbeatAnswer> {
        let now = self.now;
        let mut inputs = vec![input];
        let mut heartbeat_answer = None;
        while let Some(input) = inputs.pop() {
            let core = self.controllers[controller].core.as_mut()?;
            for effect in core.handle(now, now, input) {
                if let Some(recorder) = &mut self.recorder {
                    recorder.record(now, controller, &effect);
                }
                match effect {
                    Effect::AnswerHeartbeat { answer, .. } => heartbeat_answer = Some(answer),
                    Effect::AnswerJobLookup { request_id, lookup } => {
                        self.users.record_lookup(controller, request_id, lookup);
                    }
                    Effect::PublishView(view) => self.controllers[controller].view = view,
                    Effect::SendToPeers(message) => self.send_to_peers(controller, &message),
                    effect => inputs.extend(self.reply_to(controller, effect)),
                }
            }
        }
        heartbeat_answer
    }

    /// Executes an effect that has a reply and returns the reply as an input. Returns `None` for
    /// any other effect.
    fn reply_to(&mut self, controller: usize, effect: Effect) -> Option<Input> {
        match effect {
            Effect::StoreRequest {
                operation, request, ..
            } => {
                let reply = self.send_to_store(controller, &operation, request);
                Some(Input::StoreReply { operation, reply })
            }
            Effect::SendDirectCommand {
                partition,
                term,
                machine,
                command,
                ..
            } => {
                let answer = if self.controllers[controller].faults.is_cut_from_workers {
                    DirectAnswer::NotSent
                } else {
                    self.send_command(&machine, command)
                };
                Some(Input::DirectCommandReply {
                    partition,
                    term,
                    machine,
                    answer,
                })
            }
            Effect::Cloud(request) => {
                let reply = self.send_to_cloud(&request);
                Some(Input::CloudReply { request, reply })
            }
            _ => None,
        }
    }

    /// Delivers a message to all peers immediately. A peer acts on it at its next tick.
    fn send_to_peers(&mut self, sender: usize, message: &Message) {
        if self.controllers[sender].faults.is_cut_from_peers {
            return;
        }
        let now = self.now;
        for (index, peer) in self.controllers.iter_mut().enumerate() {
            if index == sender || peer.faults.is_cut_from_peers {
                continue;
            }
            if let Some(core) = peer.core.as_mut() {
                core.handle_peer_message(now, message.clone());
            }
        }
    }

    /// Delivers the changes since the controller's last revision, or the list of all entries if
    /// the controller has not listed the store.
    pub fn deliver_watch_events(&mut self, index: usize) {
        let requested_at = self.now;
        let revision = self.store.revision;
        let controller = &mut self.controllers[index];
        let input = if controller.has_listed_store {
            let events: Vec<WatchEvent> = self
                .store
                .events_after(controller.watched_revision)
                .to_vec();
            Input::Changes(StoreChanges {
                events,
                revision: Revision(revision),
                requested_at,
            })
        } else {
            controller.has_listed_store = true;
            Input::Loaded(StoreSnapshot {
                entries: self.store.entries(),
                revision: Revision(revision),
                requested_at,
            })
        };
        controller.watched_revision = revision;
        self.handle_input(index, input);
    }

    /// Delivers a heartbeat to a controller and returns its answer. Returns `None` if the
    /// controller is not running.
    pub fn deliver_heartbeat(
        &mut self,
        controller: usize,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatAnswer> {
        let input = Input::Heartbeat {
            heartbeat,
            request_id: HEARTBEAT_REQUEST,
        };
        self.handle_input(controller, input)
    }

    /// Delivers the next heartbeat of a worker to a controller and returns its answer. Returns
    /// `None` if the controller is not running.
    pub fn deliver_heartbeat_of(
        &mut self,
        worker: usize,
        controller: usize,
    ) -> Option<HeartbeatAnswer> {
        let heartbeat = self.workers[worker].heartbeat();
        self.deliver_heartbeat(controller, heartbeat)
    }

    /// Sends a worker's heartbeat to the controllers until one accepts it.
    pub(super) fn send_heartbeat(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if self.cloud.is_released(&worker.id) || worker.is_paused {
            return;
        }
        if worker.loses_heartbeats {
            // The worker cannot connect to any controller, and tries the next one.
            worker.next_heartbeat_at = self.now + secs(CONNECT_RETRY_INTERVAL_S);
            let heartbeat = worker.heartbeat();
            self.network.copy_heartbeat(&heartbeat);
            return;
        }
        if worker.is_isolated {
            if self.network.copies_heartbeats {
                let heartbeat = worker.heartbeat();
                self.network.copy_heartbeat(&heartbeat);
            }
            return;
        }
        if worker.is_unreachable {
            self.send_unanswered_heartbeat(index);
            return;
        }
        let candidates: Vec<usize> = worker
            .controller
            .into_iter()
            .chain(0..self.controllers.len())
            .filter(|controller| self.controllers[*controller].accepts_workers())
            .collect();
        for controller in candidates {
            let heartbeat = self.workers[index].heartbeat();
            self.network.copy_heartbeat(&heartbeat);
            let answer = self.deliver_heartbeat(controller, heartbeat);
            let worker = &mut self.workers[index];
            let Some(HeartbeatAnswer::Accepted(response)) = answer else {
                worker.controller = None;
                continue;
            };
            if response.fencing_token > worker.fencing_token || !response.commands.is_empty() {
                // The worker reports the changed state in its next heartbeat, half a second later.
                worker.next_heartbeat_at = self.now + secs(0.5);
            }
            if response.fencing_token >= worker.fencing_token {
                worker.fencing_token = response.fencing_token;
                worker.last_answer_at = self.now;
                worker.controller = Some(controller);
                worker.execute(&response.commands);
            }
            return;
        }
    }

    /// Sends the heartbeat of a worker that answers do not reach. After a timeout the worker sends
    /// its next heartbeat to the next controller.
    fn send_unanswered_heartbeat(&mut self, index: usize) {
        let count = self.controllers.len();
        let worker = &mut self.workers[index];
        let next = worker
            .controller
            .map_or(0, |controller| (controller + 1) % count);
        worker.controller = Some(next);
        worker.next_heartbeat_at = self.now + secs(if count > 1 { 5.0 } else { 2.0 });
        self.deliver_heartbeat_of(index, next);
    }

    /// Returns the controller that owns the first partition.
    pub fn owner(&self) -> usize {
        let record = self.store.value("r/blocks/0/holder");
        let label: Label = serde_json::from_value(record["holder"].clone()).expect("an owner");
        self.controllers
            .iter()
            .position(|controller| controller.settings.label == label)
            .expect("a controller")
    }

    /// Returns the controller that the store records as leader, or `None` without a leader.
    pub fn leader(&self) -> Option<usize> {
        let label = &self.store.keys.get(keys::LEADER)?.value["holder"];
        self.controllers
            .iter()
            .position(|controller| *label == *controller.settings.label.as_str())
    }

    /// Returns how many comparisons of a machine with a class of tasks the first controller has
    /// made.
    pub fn machines_compared(&self) -> usize {
        self.controllers[0]
            .core
            .as_ref()
            .map_or(0, Core::machines_compared)
    }

    /// Returns the time in seconds within which the tasks of a cancelled job must end.
    pub fn cancel_timeout_s(&self) -> f64 {
        self.controllers[0]
            .settings
            .platform
            .workers
            .cancellation_timeout_s
    }

    /// Returns the worker lease in seconds: the time without an answer to its heartbeats after
    /// which a worker ends its tasks.
    pub fn worker_lease_s(&self) -> f64 {
        self.controllers[0].settings.platform.workers.lease_s
    }
}
