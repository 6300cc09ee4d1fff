//! A controller of the simulation: the core with its settings and what it has read of the
//! store. The effects of its core are carried out here, by the stand-ins.

use super::network::ControllerFaults;
use super::{Simulation, secs};
use crate::api::ports::{ApiView, HeartbeatAnswer};
use crate::clock::Micros;
use crate::controller::core::Core;
use crate::controller::messages::{DirectAnswer, Effect, Input, StoreChanges, StoreSnapshot};
use crate::ids::{Label, Revision};
use crate::mesh::Message;
use crate::policy::tests::standard;
use crate::settings::Settings;
use crate::store::{WatchEvent, keys};
use crate::subsystems::Subsystems;
use crate::workers::Heartbeat;
use std::rc::Rc;
use std::sync::Arc;

/// The request identifier of heartbeats that workers send.
const HEARTBEAT_REQUEST: u64 = 1;

/// A controller of the simulation.
pub struct ControllerNode {
    /// Its state while its process runs.
    pub core: Option<Core>,
    /// Its settings.
    pub settings: Rc<Settings>,
    /// The last revision of which it has received the changes.
    watched_revision: u64,
    /// It has listed the store since it started.
    has_listed_store: bool,
    /// The faults that it meets now.
    pub faults: ControllerFaults,
    /// The subsystems that are on when it starts next.
    pub subsystems: Subsystems,
    /// What its API shows.
    pub view: Arc<ApiView>,
}

impl ControllerNode {
    /// A controller that has not started yet.
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

    /// Starts its process, which has no state yet.
    pub fn start(&mut self, now: Micros, idle_release_after: Micros) {
        // Nothing idle is released here, unless a test wants it.
        let mut policy = standard();
        policy.spot_idle_timeout = idle_release_after;
        policy.on_demand_idle_timeout = idle_release_after;
        let core = Core::new(self.settings.clone(), Rc::new(policy), now);
        self.core = Some(core.with_subsystems(&self.subsystems));
        self.has_listed_store = false;
    }

    /// Whether its process exists and is not paused.
    pub fn is_running(&self) -> bool {
        self.core.is_some() && !self.faults.is_paused
    }

    /// Whether workers reach it.
    pub fn accepts_workers(&self) -> bool {
        self.is_running() && !self.faults.is_cut_from_workers
    }

    /// Whether its requests to the store are answered while the store is up.
    pub fn reaches_store(&self) -> bool {
        !self.faults.is_cut_from_store && !self.faults.is_rejected_by_store
    }

    /// Its watch fell behind the store's log: it lists everything again.
    pub fn lose_watch(&mut self) {
        self.has_listed_store = false;
    }

    /// Cuts it off from the store and from its peers, not from its workers.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.faults.is_cut_from_store = is_isolated;
        self.faults.is_cut_from_peers = is_isolated;
    }
}

impl Simulation {
    /// Starts a controller.
    pub fn start_controller(&mut self, controller: usize) {
        let (now, idle_release_after) = (self.now, self.idle_release_after);
        self.controllers[controller].start(now, idle_release_after);
    }

    /// Starts all controllers.
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

    /// Ends the process of a controller and starts it at once.
    pub fn restart_controller(&mut self, controller: usize) {
        self.crash_controller(controller);
        self.start_controller(controller);
    }

    /// Ends the process of the partition's owner, and says which controller that was.
    pub fn crash_owner(&mut self) -> usize {
        let owner = self.owner();
        self.crash_controller(owner);
        owner
    }

    /// Gives an input to a controller and carries out all effects, with what follows from
    /// their replies. The answer to a heartbeat is returned.
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
                    Effect::Mesh(message) => self.send_to_peers(controller, &message),
                    effect => inputs.extend(self.reply_to(controller, effect)),
                }
            }
        }
        heartbeat_answer
    }

    /// Carries out an effect that has a reply.
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

    /// Peers receive a message at once and act on it at their next tick.
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

    /// A controller lists the store, or receives the changes since its last revision.
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

    /// A worker's heartbeat arrives at a controller.
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

    /// A new heartbeat of a worker arrives at a controller.
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
        if worker.is_isolated || worker.loses_heartbeats {
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
                // A change is reported soon.
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

    /// A worker that answers don't reach waits in vain, and then tries the next controller.
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

    /// The controller that owns the first partition.
    pub fn owner(&self) -> usize {
        let record = self.store.value("r/blocks/0/holder");
        let label: Label = serde_json::from_value(record["holder"].clone()).expect("an owner");
        self.controllers
            .iter()
            .position(|controller| controller.settings.label == label)
            .expect("a controller")
    }

    /// The controller that the store records as leader.
    pub fn leader(&self) -> Option<usize> {
        let label = &self.store.keys.get(keys::LEADER)?.value["holder"];
        self.controllers
            .iter()
            .position(|controller| *label == *controller.settings.label.as_str())
    }

    /// Machines that were compared with a class of work so far, by the first controller.
    pub fn machines_compared(&self) -> usize {
        self.controllers[0]
            .core
            .as_ref()
            .map_or(0, Core::machines_compared)
    }

    /// The time in seconds within which a cancelled job's tasks have ended.
    pub fn cancel_timeout_s(&self) -> f64 {
        self.controllers[0]
            .settings
            .platform
            .workers
            .cancellation_timeout_s
    }

    /// The time in seconds after which an unanswered worker ends its tasks.
    pub fn worker_lease_s(&self) -> f64 {
        self.controllers[0].settings.platform.workers.lease_s
    }
}
